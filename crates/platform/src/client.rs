//! HTTP client of the object API.

mod conditional;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use crate::{
    API_VERSION, CallBudget, CallCounts, CallKind, ClientSettings, Kind, MAX_VALUE_BYTES, Object,
    ObjectList, PlatformError, ResourceVersion, Watch,
    response::{self, BufferedResponse, CallContext},
    wire::{self, DeleteOptions, Envelope, Metadata, Preconditions, collection_path, object_path},
};

pub use conditional::ConditionalReply;

/// Time after which an idle connection is closed, in milliseconds.
const POOL_IDLE_TIMEOUT_MS: u64 = 30_000;

/// Idle time after which TCP keepalive probes a connection, and interval between probes, in
/// seconds.
///
/// A long poll may wait for a long time, so a dead connection has to be detected by TCP.
const KEEPALIVE_S: u64 = 1;

/// Unacknowledged TCP keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 1;

/// Client of the platform's object API; clones share the connections and the call budget.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: ClientSettings,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    budget: CallBudget,
    /// Highest era that a response has stated.
    era: watch::Sender<u64>,
}

/// Body of a response, and the era of the platform in which it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadReply {
    /// Number of times that the platform had been restored from a copy.
    pub era: u64,
    /// Undecoded body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_interval(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(POOL_IDLE_TIMEOUT_MS))
            .build(connector);
        let budget = CallBudget::new(settings.budget, Instant::now());
        let era = watch::Sender::new(0);
        Self { inner: Arc::new(Inner { settings, http, budget, era }) }
    }

    /// Returns the settings of the client.
    pub fn settings(&self) -> &ClientSettings {
        &self.inner.settings
    }

    /// Returns the numbers of calls made so far.
    pub fn counts(&self) -> CallCounts {
        self.inner.budget.counts()
    }

    /// Returns a receiver of the highest era that a response has stated.
    pub fn era(&self) -> watch::Receiver<u64> {
        self.inner.era.subscribe()
    }

    /// Records an era of the platform, for instance one that another process has seen.
    pub fn observe_era(&self, era: u64) {
        self.inner.era.send_if_modified(|it| {
            let is_newer = *it < era;
            *it = (*it).max(era);
            is_newer
        });
    }

    /// Reads one object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when the platform does not respond and `Invalid` when the response
    /// does not conform to the API.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let context = CallContext::new(CallKind::Read, self.object_name(kind, name));
        let response = self.call(&context, Method::GET, &path, Bytes::new()).await?;
        if response.is_not_found() {
            return Ok(None);
        }
        response.object(&context).map(Some)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when the platform does not respond and `Invalid` when the response
    /// does not conform to the API.
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: Kind,
    ) -> Result<ObjectList<T>, PlatformError> {
        let path = collection_path(&self.inner.settings.environment, kind)?;
        let context = CallContext::new(CallKind::Read, self.collection_name(kind));
        let response = self.call(&context, Method::GET, &path, Bytes::new()).await?;
        response.check(&context)?;
        wire::decode_list(&response.into_body()).map_err(|it| context.invalid(it))
    }

    /// Creates an object if there is none of the same name.
    ///
    /// # Errors
    ///
    /// Returns `AlreadyExists` when there is one, `TooLarge` without sending the request,
    /// `Unavailable` when the object was certainly not created and `AnswerLost` when it may have
    /// been.
    pub async fn create<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        spec: &T,
    ) -> Result<Object<T>, PlatformError> {
        object_path(&self.inner.settings.environment, kind, name)?;
        let path = collection_path(&self.inner.settings.environment, kind)?;
        let context = CallContext::new(CallKind::Write, self.object_name(kind, name));
        let body = self.encode(&context, kind, name, None, spec)?;
        let response = self.call(&context, Method::POST, &path, body).await?;
        response.object(&context)
    }

    /// Replaces the content of an object if its version is still `from`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` when the object has changed or no longer exists, `TooLarge` without
    /// sending the request, `Unavailable` when the object was certainly not changed and
    /// `AnswerLost` when it may have been.
    pub async fn update<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        from: &ResourceVersion,
        spec: &T,
    ) -> Result<Object<T>, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let context = CallContext::new(CallKind::Write, self.object_name(kind, name));
        let body = self.encode(&context, kind, name, Some(from.clone()), spec)?;
        let response = self.call(&context, Method::PUT, &path, body).await?;
        if response.is_not_found() {
            return Err(PlatformError::Conflict { object: context.object });
        }
        response.object(&context)
    }

    /// Deletes an object; if `from` is given, only if that is still the object's version.
    ///
    /// Returns whether the object existed.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` when the object has another version, `Unavailable` when it was certainly
    /// not deleted and `AnswerLost` when it may have been.
    pub async fn delete(
        &self,
        kind: Kind,
        name: &str,
        from: Option<&ResourceVersion>,
    ) -> Result<bool, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let context = CallContext::new(CallKind::Write, self.object_name(kind, name));
        let body = match from {
            Some(resource_version) => {
                let preconditions = Preconditions { resource_version };
                let options =
                    DeleteOptions { api_version: "v1", kind: "DeleteOptions", preconditions };
                context.encode(&options)?
            }
            None => Bytes::new(),
        };
        let response = self.call(&context, Method::DELETE, &path, body).await?;
        if response.is_not_found() {
            return Ok(false);
        }
        response.check(&context)?;
        Ok(true)
    }

    /// Opens a watch for the changes of a kind since the version `from`.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer has the changes since `from`, and `Unavailable`
    /// when it does not respond.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        from: &ResourceVersion,
    ) -> Result<Watch<T>, PlatformError> {
        let settings = &self.inner.settings;
        let path = collection_path(&settings.environment, kind)?;
        let query = format!(
            "watch=true&allowWatchBookmarks=true&resourceVersion={}&timeoutSeconds={}",
            utf8_percent_encode(&from.0, NON_ALPHANUMERIC),
            settings.watch_timeout_s
        );
        let context = CallContext::new(CallKind::Watch, self.collection_name(kind));
        let path = format!("{path}?{query}");
        let opened = async {
            let response = self.send(&context, Method::GET, &path, Bytes::new()).await?;
            if response.status() == StatusCode::OK {
                return Ok(response);
            }
            BufferedResponse::read(&context, response, None).await?.check(&context)?;
            Err(context.invalid("the response to a watch is not a stream".to_owned()))
        };
        let response = self.within_timeout(&context, opened).await?;
        let end = Duration::from_secs(settings.watch_timeout_s)
            + Duration::from_millis(settings.request_timeout_ms);
        Ok(Watch::new(context, response.into_body(), end))
    }

    /// Reads `path`, whatever its format, and returns the undecoded body of the response and its era.
    ///
    /// The request timeout applies to the head of the response and to each pause in its body, since a
    /// large list takes longer over a slow link.
    ///
    /// `object` names the object in errors. `wait_ms` is the time for which the platform may delay
    /// the response, in milliseconds, as in a long poll.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer has the requested changes, `Restored` when the
    /// response was sent before a restore that this client knows of, and `Unavailable` when the
    /// platform does not respond.
    pub async fn read(
        &self,
        call_kind: CallKind,
        object: &str,
        path: &str,
        wait_ms: u64,
    ) -> Result<ReadReply, PlatformError> {
        let context = CallContext::new(call_kind, object.to_owned());
        let settings = &self.inner.settings;
        let head_limit = Duration::from_millis(settings.request_timeout_ms + wait_ms);
        self.wait_for_budget(&context).await?;
        let head = self.send(&context, Method::GET, path, Bytes::new());
        let head = tokio::time::timeout(head_limit, head).await;
        let head = head.map_err(|_| context.timed_out())??;
        let idle_limit = Duration::from_millis(settings.request_timeout_ms);
        let era_header = settings.era_header.as_ref();
        let response =
            BufferedResponse::read_while_it_arrives(&context, head, era_header, idle_limit);
        let response = response.await?;
        response.check(&context)?;
        let era = self.check_era(&context, &response)?;
        Ok(ReadReply { era, body: response.into_body() })
    }

    /// Writes `body`, whatever its format, to `path`; `object` names the object in errors.
    ///
    /// # Errors
    ///
    /// Returns `AlreadyExists` or `Conflict` when the object exists or has changed, `Unavailable`
    /// when the write certainly had no effect and `AnswerLost` when it may have had one.
    pub async fn write(
        &self,
        object: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(), PlatformError> {
        let context = CallContext::new(CallKind::Write, object.to_owned());
        let response = self.call(&context, method, path, body).await?;
        response.check(&context)?;
        // A restore has undone a write that was acknowledged before it.
        self.check_era(&context, &response)
            .map(|_| ())
            .map_err(|error| context.response_lost(error.to_string()))
    }

    /// Makes one call and reads the complete response.
    async fn call(
        &self,
        context: &CallContext,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, PlatformError> {
        let buffered = async {
            let response = self.send(context, method, path, body).await?;
            self.read_response(context, response).await
        };
        self.within_timeout(context, buffered).await
    }

    /// Waits until the call budget allows the call, then for its result within the request
    /// timeout.
    async fn within_timeout<V>(
        &self,
        context: &CallContext,
        call: impl Future<Output = Result<V, PlatformError>>,
    ) -> Result<V, PlatformError> {
        self.wait_for_budget(context).await?;
        let timeout = Duration::from_millis(self.inner.settings.request_timeout_ms);
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(context.timed_out()),
        }
    }

    /// Waits until the call budget allows the call; fails if that would take too long.
    async fn wait_for_budget(&self, context: &CallContext) -> Result<(), PlatformError> {
        let Some(wait) = self.inner.budget.reserve(context.call_kind, Instant::now()) else {
            return Err(PlatformError::Unavailable {
                object: context.object.clone(),
                detail: format!("the call budget for {} calls is exhausted", context.call_kind),
                retry_after_ms: Some(self.inner.settings.budget.max_wait_ms),
            });
        };
        // Even a sleep of zero length may last until the next tick of the timer.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    /// Returns the era of a response, or an error if the platform has been restored since.
    fn check_era(
        &self,
        context: &CallContext,
        response: &BufferedResponse,
    ) -> Result<u64, PlatformError> {
        let known = *self.inner.era.borrow();
        match response.era() {
            Some(era) if era < known => {
                Err(PlatformError::Restored { object: context.object.clone() })
            }
            Some(era) => Ok(era),
            None => Ok(known),
        }
    }

    /// Sends a request and returns the response once its head has been received.
    async fn send(
        &self,
        context: &CallContext,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.inner.settings.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| context.invalid(error.to_string()))?;
        let response = self.inner.http.request(request).await;
        let response = response.map_err(|it| context.http_client_error(&it))?;
        if let Some(era) = self.inner.settings.era_header.as_ref()
            && let Some(era) = response::era(response.headers(), era)
        {
            self.observe_era(era);
        }
        Ok(response)
    }

    /// Reads a response to its end.
    async fn read_response(
        &self,
        context: &CallContext,
        response: Response<Incoming>,
    ) -> Result<BufferedResponse, PlatformError> {
        BufferedResponse::read(context, response, self.inner.settings.era_header.as_ref()).await
    }

    /// Encodes an object and checks the size of the result.
    fn encode<T: Serialize>(
        &self,
        context: &CallContext,
        kind: Kind,
        name: &str,
        resource_version: Option<ResourceVersion>,
        spec: &T,
    ) -> Result<Bytes, PlatformError> {
        let metadata = Metadata {
            name: name.to_owned(),
            namespace: Some(self.inner.settings.environment.clone()),
            resource_version,
        };
        let envelope = Envelope {
            api_version: API_VERSION.to_owned(),
            kind: kind.name().to_owned(),
            metadata,
            spec,
        };
        let body = context.encode(&envelope)?;
        if body.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge {
                object: context.object.clone(),
                size_bytes: body.len(),
                limit_bytes: MAX_VALUE_BYTES,
            });
        }
        Ok(body)
    }

    /// Returns the name of a collection for errors.
    fn collection_name(&self, kind: Kind) -> String {
        format!("{}/{}", self.inner.settings.environment, kind.plural())
    }

    /// Returns the name of an object for errors.
    fn object_name(&self, kind: Kind, name: &str) -> String {
        format!("{}/{name}", self.collection_name(kind))
    }
}
