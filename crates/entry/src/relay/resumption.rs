//! Streams that callers take up again: where each began, since it may go on only there.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use log::{info, warn};
use tokio::time::Instant;
use yuccatrail_adapter::CallerHeaders;
use yuccatrail_core::{
    route_table::{AuthorizedRequest, RouteKind},
    stream_origin::{StreamKey, StreamOrigin},
};

use crate::relay::{
    peers::{Owner, Peer, context_for},
    request::Refusal,
    state::Relay,
};

/// Time for which the origin of a stream is looked for, in milliseconds. The entry that began it may not
/// have told the others yet, and this one may just have started.
const SEARCH_MS: u64 = 500;
/// Interval between two rounds of questions, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Timeout of a question to another entry, in milliseconds.
const QUESTION_TIMEOUT_MS: u64 = 300;
/// Timeout of the question which version keeps a prompt, in milliseconds; the entry that is asked may have
/// to ask all upstreams of a service first.
const PROMPT_QUESTION_TIMEOUT_MS: u64 = 700;
/// Retry-After when no entry knows the stream, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 300;

/// Returns where the stream that a request takes up began; none for a request that takes none up.
///
/// # Errors
///
/// Returns the refusal of a stream that can't go on: nobody knows where it began, or the route or the
/// software version has gone.
pub(crate) async fn find_origin(
    relay: &Arc<Relay>,
    id: &str,
    head: &CallerHeaders,
    authorized: &AuthorizedRequest,
) -> Result<Option<StreamOrigin>, Refusal> {
    let is_resumption = head.last_event_id.is_some() || head.resumed_request_id.is_some();
    if authorized.route.kind != RouteKind::Stream || !is_resumption {
        return Ok(None);
    }
    let Some(origin) = search(relay, head, authorized).await else {
        return Err(Refusal::busy("stream_origin_unknown", UNKNOWN_RETRY_MS));
    };
    info!(
        id = id,
        resumes = head.resumed_request_id.as_deref().unwrap_or(""),
        service:% = origin.service,
        version:% = origin.version;
        "stream taken up"
    );
    let is_routed = authorized.route.targets.iter().any(|it| it.service == origin.service);
    if !is_routed || !relay.upstreams().has_version(&origin.service, &origin.version) {
        return Err(Refusal::gone("stream_version_gone"));
    }
    Ok(Some(origin))
}

async fn search(
    relay: &Arc<Relay>,
    head: &CallerHeaders,
    authorized: &AuthorizedRequest,
) -> Option<StreamOrigin> {
    // Without an identifier, only the versions of the service tell where the stream began.
    let Some(id) = head.resumed_request_id.as_deref() else {
        return sole_origin(relay, authorized).await;
    };
    let stream = StreamKey::of(id);
    let deadline = Instant::now() + Duration::from_millis(SEARCH_MS);
    loop {
        if let Some(origin) = relay.streams().origin_of(stream).cloned() {
            return Some(origin);
        }
        // A version that this entry has not seen yet may be known to others.
        let questions = relay.peers.registrars().into_iter().map(|it| ask(it, stream));
        if let Some(origin) = join_all(questions).await.into_iter().flatten().next() {
            return Some(origin);
        }
        if let Some(origin) = sole_origin(relay, authorized).await {
            return Some(origin);
        }
        if let Some(origin) = find_by_prompt(relay, head, authorized).await {
            return Some(origin);
        }
        if Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)).await;
    }
}

/// Returns the only service and version at which a stream of the route can have begun, if there is one.
///
/// The platform is asked again, since an entry that is out of step may lack a version without noticing.
async fn sole_origin(relay: &Relay, authorized: &AuthorizedRequest) -> Option<StreamOrigin> {
    let [target] = authorized.route.targets.as_slice() else { return None };
    if !relay.follows_platform() {
        return None;
    }
    let version = relay.upstreams().sole_version(&target.service, relay.now_ms())?;
    let limit = Duration::from_millis(SEARCH_MS);
    if !relay.listed_versions.is_only(relay, &target.service, &version, limit).await {
        return None;
    }
    Some(StreamOrigin { service: target.service.clone(), version })
}

/// Returns the only service and version whose upstreams keep the last part of the prompt, which belongs to
/// this request alone.
async fn find_by_prompt(
    relay: &Arc<Relay>,
    head: &CallerHeaders,
    authorized: &AuthorizedRequest,
) -> Option<StreamOrigin> {
    let (part, _) = head.prompt_parts.last()?;
    for target in &authorized.route.targets {
        let service = &target.service;
        let found = match relay.peers.owner_of_queries(relay) {
            Owner::Local => relay.prompt_holders.version_keeping(relay, service, part).await,
            Owner::Remote(peer) => {
                let context = context_for(PROMPT_QUESTION_TIMEOUT_MS);
                let question = peer.client.version_keeping(context, service.clone(), part.clone());
                question.await.unwrap_or_else(|error| {
                    warn!(entry:% = peer.name, error:% = error; "failed to ask which version keeps a prompt");
                    None
                })
            }
        };
        if let Some(version) = found {
            return Some(StreamOrigin { service: service.clone(), version });
        }
    }
    None
}

async fn ask(registrar: Peer, stream: StreamKey) -> Option<StreamOrigin> {
    match registrar.client.stream_origin(context_for(QUESTION_TIMEOUT_MS), stream).await {
        Ok(origin) => origin,
        Err(error) => {
            warn!(entry:% = registrar.name, error:% = error; "failed to ask where a stream began");
            None
        }
    }
}

/// Records where a stream began, or goes on, for this entry and the registrars.
pub(crate) fn record_origin(
    relay: &Relay,
    id: &str,
    head: &CallerHeaders,
    service: &Arc<str>,
    version: &Arc<str>,
) {
    let stream = StreamKey::of(head.resumed_request_id.as_deref().unwrap_or(id));
    let origin = StreamOrigin { service: service.clone(), version: version.clone() };
    relay.streams().record(stream, &origin, relay.now_ms());
}
