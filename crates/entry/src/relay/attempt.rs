//! One call to one upstream, which counts as in flight there until it ends.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use log::{info, warn};
use yuccatrail_adapter::{ResponseMeta, decode_response_meta, system_headers};
use yuccatrail_core::{
    request_limit::LimitChange,
    upstreams::{
        CallEnd, RestRequest, SelectionCriteria, TokenDemand, UpstreamKey, UpstreamRecord,
        Upstreams,
    },
};
use yuccatrail_runtime::http::{has_inner_status_line, is_expected_status};

use crate::relay::{
    buffers::ReadError,
    pool::{Connection, ConnectionId, SendError},
    sabotage::Mechanism,
    state::Relay,
};

/// Number of idle connections to try before a new one is opened.
const MAX_IDLE_TRIES: usize = 2;

/// Why a call got no usable response.
#[derive(Debug, Display, Error)]
pub(crate) enum AttemptError {
    /// No connection could be opened, so nothing was sent.
    #[display("unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The request was sent and no complete response arrived.
    #[display("response lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The response belongs to another request or was corrupted on the way.
    #[display("response damaged: {_0}")]
    Damaged(#[error(not(source))] String),
    /// The response has begun, and there is no memory for the rest of it.
    #[display("no memory for the response")]
    NoMemory,
}

impl From<ReadError> for AttemptError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::NoMemory => Self::NoMemory,
            ReadError::Broken(_) | ReadError::TooLong => Self::Lost(error.to_string()),
        }
    }
}

/// A request to an upstream, with its whole body so that it can be sent again.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// All headers, including those that the system sets.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Identifier that the response has to carry; none for calls that the relay makes for itself.
    pub(crate) request_id: Option<String>,
    /// Connections on which the request was rejected before. An upstream may write that rejection once more
    /// where the next response is due, which nothing tells from a response to the same request.
    pub(crate) rejected_on: Vec<ConnectionId>,
}

/// A call in progress; dropping it closes its connection, which cancels the call.
pub(crate) struct Attempt {
    relay: Arc<Relay>,
    /// Key of the upstream.
    pub(crate) key: UpstreamKey,
    /// Record of the upstream as listed by the platform.
    pub(crate) record: UpstreamRecord,
    connection: Option<Connection>,
    /// Whether the connection had carried a request before this one.
    is_connection_reused: bool,
    /// Tokens that the call holds at the upstream.
    tokens: Option<TokenDemand>,
    started_ms: u64,
    latency_ms: f64,
    is_counted: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(CallEnd::Cancelled);
    }
}

impl Attempt {
    /// Begins a call and counts it as in flight; none if the upstream may not be called now.
    pub(crate) fn begin(relay: &Arc<Relay>, key: UpstreamKey) -> Option<Self> {
        let now_ms = relay.now_ms();
        let mut upstreams = relay.upstreams();
        if !upstreams.begin_with(key, None, now_ms) {
            return None;
        }
        Self::new(relay, &upstreams, key, None, now_ms)
    }

    /// Chooses an upstream and begins a call to it; none if no upstream may be called now.
    pub(crate) fn begin_chosen(
        relay: &Arc<Relay>,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Self> {
        let now_ms = relay.now_ms();
        let mut upstreams = relay.upstreams();
        let key = upstreams.begin_chosen(criteria, now_ms)?;
        Self::new(relay, &upstreams, key, criteria.tokens, now_ms)
    }

    /// Begins a call that is no work for the upstream and counts against none of its limits.
    pub(crate) fn begin_query(relay: &Arc<Relay>, key: UpstreamKey) -> Option<Self> {
        let now_ms = relay.now_ms();
        let mut query = Self::new(relay, &relay.upstreams(), key, None, now_ms)?;
        query.is_counted = false;
        Some(query)
    }

    fn new(
        relay: &Arc<Relay>,
        upstreams: &Upstreams,
        key: UpstreamKey,
        tokens: Option<TokenDemand>,
        now_ms: u64,
    ) -> Option<Self> {
        let record = upstreams.get(key)?.record.clone();
        Some(Self {
            relay: relay.clone(),
            key,
            record,
            connection: None,
            is_connection_reused: false,
            tokens,
            started_ms: now_ms,
            latency_ms: 0.0,
            is_counted: true,
        })
    }

    /// Returns the relay that makes the call.
    pub(crate) fn relay(&self) -> &Arc<Relay> {
        &self.relay
    }

    /// Returns the time at which the call began, in milliseconds.
    pub(crate) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the connection that carries the call; none before it is sent.
    pub(crate) fn connection_id(&self) -> Option<ConnectionId> {
        self.connection.as_ref().map(|it| it.id)
    }

    /// Sends a request and waits for the response headers.
    pub(crate) async fn send(
        &mut self,
        request: &UpstreamRequest,
    ) -> Result<(Response<Incoming>, ResponseMeta), AttemptError> {
        let sent = self.send_on_any_connection(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(SendError::Connect(error)) => {
                self.relay.pool.close_idle(self.key);
                self.end(CallEnd::Unreachable);
                return Err(AttemptError::Unreachable(error.to_string()));
            }
            Err(error @ SendError::NotSent) => {
                self.end(CallEnd::Failed);
                return Err(AttemptError::Unreachable(error.to_string()));
            }
            Err(error @ SendError::Lost(_)) => {
                self.end(CallEnd::Failed);
                return Err(AttemptError::Lost(error.to_string()));
            }
        };
        if !is_expected_status(response.status(), &request.headers) {
            self.end(CallEnd::Failed);
            let detail = format!("unexpected status {}", response.status().as_u16());
            return Err(AttemptError::Damaged(detail));
        }
        if has_inner_status_line(&response) && !Mechanism::WholeHeads.is_off() {
            self.end(CallEnd::Failed);
            let detail = "its head begins with a part of another one".to_owned();
            return Err(AttemptError::Damaged(detail));
        }
        let now_ms = self.relay.now_ms();
        self.latency_ms = now_ms.saturating_sub(self.started_ms) as f64;
        let meta = decode_response_meta(response.status(), response.headers());
        let is_foreign = self.is_foreign(&meta, request.request_id.as_deref());
        self.observe(&meta, is_foreign, now_ms);
        if is_foreign && !Mechanism::OwnAnswer.is_off() {
            self.end(CallEnd::Failed);
            return Err(AttemptError::Damaged("it belongs to another request".to_owned()));
        }
        if meta.is_not_run {
            self.mark_end();
            self.end(match (meta.is_replaced, meta.requested_rest_s) {
                (true, _) => CallEnd::Replaced,
                (false, Some(_)) => CallEnd::Rests,
                (false, None) => CallEnd::Shed,
            });
        }
        Ok((response, meta))
    }

    /// Tells whether a response belongs to another request than the one with the given identifier.
    ///
    /// A faulty upstream may write an earlier rejection once more on a kept connection, so one without an
    /// identifier says nothing of this request there.
    fn is_foreign(&self, meta: &ResponseMeta, request_id: Option<&str>) -> bool {
        let Some(request_id) = request_id else { return false };
        match meta.request_id.as_deref() {
            Some(stated) => stated != request_id,
            None => meta.is_not_run && self.is_connection_reused,
        }
    }

    /// Makes a call on the relay's own behalf and reads the complete response.
    pub(crate) async fn post(
        &mut self,
        path: &'static str,
        body: Bytes,
    ) -> Result<(StatusCode, ResponseMeta, Bytes), AttemptError> {
        let request = self.own_request(Method::POST, path, body);
        let (response, mut meta) = self.send(&request).await?;
        self.mark_end();
        let status = response.status();
        if meta.is_not_run {
            let is_whole = self.relay.response_buffers.skip(response.into_body()).await;
            meta.closes_connection |= !is_whole;
            return Ok((status, meta, Bytes::new()));
        }
        let body = self.relay.response_buffers.read_own(response.into_body()).await?;
        Ok((status, meta, body))
    }

    /// Asks the upstream for something that it keeps and reads the complete response.
    pub(crate) async fn get(
        &mut self,
        path: &'static str,
    ) -> Result<(StatusCode, ResponseMeta, Bytes), AttemptError> {
        let request = self.own_request(Method::GET, path, Bytes::new());
        let (response, meta) = self.send(&request).await?;
        self.mark_end();
        let status = response.status();
        let body = self.relay.response_buffers.read_list(response.into_body()).await?;
        Ok((status, meta, body))
    }

    /// States that the response shows by itself whether it is whole: the head of a rejection decides, and a
    /// part of a JSON document can't be decoded.
    fn mark_end(&self) {
        if let Some(connection) = &self.connection {
            connection.response_end().set_marked();
        }
    }

    /// Waits until a response that ended with its connection is known to be whole, at most half of the time
    /// that the request has left, so that it still arrives in time.
    pub(crate) async fn confirm_end(
        &self,
        limit_ms: u64,
        remaining_ms: u64,
    ) -> Result<(), AttemptError> {
        let Some(connection) = &self.connection else { return Ok(()) };
        let end = connection.response_end();
        if !end.is_unconfirmed() {
            return Ok(());
        }
        let wait_ms = limit_ms.min(remaining_ms / 2);
        let confirmed = end.confirm(Duration::from_millis(wait_ms)).await;
        confirmed.map_err(|it| AttemptError::Lost(it.to_string()))?;
        if wait_ms == limit_ms {
            self.relay.upstreams().record_whole_response(self.key);
        }
        Ok(())
    }

    /// Tells whether the response names a stage result that an earlier one on its connection has named, so
    /// that it is a copy of that one: each result has a handle of its own.
    pub(crate) fn repeats_results<'a>(&mut self, handles: impl Iterator<Item = &'a str>) -> bool {
        self.connection.as_mut().is_some_and(|it| it.results.record(handles))
    }

    /// Builds a request that the relay makes for itself.
    fn own_request(&self, method: Method, path: &'static str, body: Bytes) -> UpstreamRequest {
        UpstreamRequest {
            method,
            uri: Uri::from_static(path),
            headers: system_headers(&self.record.id, self.record.address),
            body,
            request_id: None,
            rejected_on: Vec::new(),
        }
    }

    /// Ends the call after its complete response was read, and keeps the connection for reuse.
    pub(crate) fn finish(mut self, meta: &ResponseMeta) {
        let latency_ms = self.latency_ms;
        self.end(CallEnd::Answered { latency_ms });
        let Some(connection) = self.connection.take() else { return };
        if meta.closes_connection {
            return;
        }
        let now_ms = self.relay.now_ms();
        self.relay.pool.store_idle(self.key, connection, meta.idle_timeout_ms, now_ms);
    }

    /// Ends the call as failed by the upstream, and closes the connection.
    pub(crate) fn fail(mut self) {
        self.record_failure();
    }

    /// Records that the upstream failed the call.
    pub(crate) fn record_failure(&mut self) {
        self.end(CallEnd::Failed);
    }

    async fn send_on_any_connection(
        &mut self,
        request: &UpstreamRequest,
    ) -> Result<Response<Incoming>, SendError> {
        for _ in 0..MAX_IDLE_TRIES {
            let now_ms = self.relay.now_ms();
            let idle = self.relay.pool.take_idle(self.key, &request.rejected_on, now_ms);
            let Some(connection) = idle else { break };
            self.is_connection_reused = true;
            match self.send_on(connection, request).await {
                Err(SendError::NotSent) => {}
                sent => return sent,
            }
        }
        self.is_connection_reused = false;
        let connection = self.relay.pool.open(self.record.address).await?;
        self.relay.metrics.connections.inc();
        self.send_on(connection, request).await
    }

    async fn send_on(
        &mut self,
        connection: Connection,
        request: &UpstreamRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let connection = self.connection.insert(connection);
        connection.send(request.to_http_request()).await
    }

    fn observe(&self, meta: &ResponseMeta, is_foreign: bool, now_ms: u64) {
        let mut upstreams = self.relay.upstreams();
        if let Some(load) = meta.load
            && upstreams.observe_load(self.key, load, now_ms)
        {
            warn!(upstream:% = self.record.id, slowdown:? = load.slowdown; "upstream states an invalid slowdown, a bounded one is used");
        }
        if let Some(remaining_ms) = meta.cold_remaining_ms {
            upstreams.observe_cold(self.key, remaining_ms, now_ms);
        }
        if meta.is_leaving && upstreams.observe_leaving(self.key, now_ms) {
            info!(upstream:% = self.record.id; "upstream leaves, according to its response");
        }
        if let Some(change) = self.observe_limit(meta, is_foreign, &mut upstreams, now_ms) {
            log_limit(&self.record, change);
        }
        if let Some(seconds) = meta.requested_rest_s
            && let Some(request) = upstreams.observe_rest(self.key, seconds, now_ms)
        {
            log_rest(&self.record, seconds, request);
        }
    }

    /// Records whether the upstream states a request limit. A response to another request does not show
    /// that a limit is over.
    fn observe_limit(
        &self,
        meta: &ResponseMeta,
        is_foreign: bool,
        upstreams: &mut Upstreams,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let stated_per_s = meta.request_limit_per_s;
        if meta.is_replaced || is_foreign && stated_per_s.is_none() {
            return None;
        }
        if Mechanism::RequestLimits.is_off() {
            return None;
        }
        upstreams.observe_request_limit(self.key, stated_per_s, self.started_ms, now_ms)
    }

    fn end(&mut self, end: CallEnd) {
        if !self.is_counted {
            return;
        }
        self.is_counted = false;
        let now_ms = self.relay.now_ms();
        let mut upstreams = self.relay.upstreams();
        upstreams.end_with(self.key, self.tokens, self.started_ms, end, now_ms);
    }
}

fn log_limit(upstream: &UpstreamRecord, change: LimitChange) {
    let id = &upstream.id;
    match change {
        LimitChange::Stated(per_s) => {
            info!(upstream:% = id, per_s = per_s; "upstream states a request limit");
        }
        LimitChange::Unreadable(per_s) => {
            warn!(upstream:% = id, per_s = per_s; "upstream states a request limit that can't be read, another one is used");
        }
        LimitChange::Lifted => info!(upstream:% = id; "upstream states no request limit any more"),
    }
}

fn log_rest(upstream: &UpstreamRecord, seconds: f64, request: RestRequest) {
    match request {
        RestRequest::Stated => {
            info!(upstream:% = upstream.id, seconds = seconds; "upstream wants no calls for a while");
        }
        RestRequest::Shortened | RestRequest::Replaced => {
            warn!(upstream:% = upstream.id, seconds = seconds, request:% = request; "upstream wants no calls for a time that is out of range");
        }
    }
}

/// Checks that a successful response is the unmodified one of the upstream.
pub(crate) fn check_seal(status: StatusCode, meta: &ResponseMeta) -> Result<(), AttemptError> {
    if status.is_success() && (!meta.is_sealed || meta.has_content_encoding) {
        return Err(AttemptError::Damaged(
            "it lacks the upstream's seal or was encoded".to_owned(),
        ));
    }
    Ok(())
}

impl UpstreamRequest {
    fn to_http_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
