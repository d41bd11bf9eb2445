//! Object API: reads, conditional writes and watches, subject to the configured faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use yuccatrail_platform::{API_VERSION, CallKind, MAX_VALUE_BYTES};

use super::{
    Outage,
    server::Shared,
    status::{Body, ConnectionAbort, error_response, failure, json_response, retry_later},
    store::{Collection, StoreError},
    watch,
};

/// Largest body that is read, in bytes. It exceeds the largest value so that a body with delete
/// options, or one somewhat too large, is read completely and refused with a proper status.
const MAX_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// Collection, or object in a collection, that a path names.
struct Target {
    collection: Collection,
    name: Option<String>,
}

/// Handles a call, subject to the faults that are switched on and the rate limits.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionAbort> {
    let delay_ms = shared.switches.borrow().delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let outage = shared.switches.borrow().outage;
    match outage {
        Some(Outage::Unavailable) => return Ok(unavailable()),
        Some(Outage::Error) => return Ok(internal_error()),
        Some(Outage::Reset) => return Err(ConnectionAbort::Requested),
        Some(Outage::Hang) => std::future::pending::<()>().await,
        None => {}
    }
    let call = call_kind(&request);
    if !admit(&shared, call) {
        let message = "the rate of calls exceeds the limit";
        return Ok(retry_later(StatusCode::TOO_MANY_REQUESTS, "TooManyRequests", message));
    }
    let Some(target) = parse_target(request.uri().path()) else {
        return Ok(failure(StatusCode::NOT_FOUND, "BadRequest", "unknown path"));
    };
    match call {
        CallKind::Watch => Ok(watch::open(shared, target.collection, request.uri().query())),
        CallKind::Read => Ok(read(&shared, &target)),
        CallKind::Write => write(&shared, &target, request).await,
    }
}

fn unavailable() -> Response<Body> {
    let message = "the store is not available";
    retry_later(StatusCode::SERVICE_UNAVAILABLE, "ServiceUnavailable", message)
}

fn internal_error() -> Response<Body> {
    failure(StatusCode::INTERNAL_SERVER_ERROR, "InternalError", "the store has failed")
}

fn call_kind(request: &Request<Incoming>) -> CallKind {
    if request.method() != Method::GET {
        return CallKind::Write;
    }
    let query = request.uri().query().unwrap_or_default();
    match watch::parameter(query, "watch") {
        Some("true" | "1") => CallKind::Watch,
        _ => CallKind::Read,
    }
}

/// Counts a call and returns whether the rate limit admits it.
fn admit(shared: &Shared, call: CallKind) -> bool {
    let mut state = shared.state();
    let now = Instant::now();
    let admitted = match call {
        CallKind::Read | CallKind::Watch => state.reads.take(now, Duration::ZERO),
        CallKind::Write => state.writes.take(now, Duration::ZERO),
    };
    match call {
        CallKind::Read => state.counters.reads += 1,
        CallKind::Write => state.counters.writes += 1,
        CallKind::Watch => state.counters.watches += 1,
    }
    if admitted.is_none() {
        state.counters.limited += 1;
    }
    admitted.is_some()
}

fn parse_target(path: &str) -> Option<Target> {
    let rest = path.strip_prefix("/apis/")?.strip_prefix(API_VERSION)?;
    let rest = rest.strip_prefix("/namespaces/")?;
    let parts: Vec<&str> = rest.split('/').collect();
    let (namespace, plural, name) = match parts.as_slice() {
        [namespace, plural] => (namespace, plural, None),
        [namespace, plural, name] => (namespace, plural, Some((*name).to_owned())),
        _ => return None,
    };
    let collection =
        Collection { namespace: (*namespace).to_owned(), plural: (*plural).to_owned() };
    Some(Target { collection, name })
}

fn read(shared: &Shared, target: &Target) -> Response<Body> {
    let as_of = shared.lagging_view_time();
    let state = shared.state();
    let Some(name) = &target.name else {
        let (version, items) = state.store.list(&target.collection, as_of);
        let list = json!({
            "apiVersion": API_VERSION,
            "kind": "List",
            "metadata": { "resourceVersion": version.to_string() },
            "items": items,
        });
        return json_response(StatusCode::OK, &list);
    };
    match state.store.get(&target.collection, name, as_of) {
        Some(object) => json_response(StatusCode::OK, &object),
        None => error_response(StoreError::NotFound, name),
    }
}

async fn write(
    shared: &Shared,
    target: &Target,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionAbort> {
    let method = request.method().clone();
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(too_large()),
    };
    if body.len() > MAX_VALUE_BYTES {
        return Ok(too_large());
    }
    let response = apply(shared, target, &method, &body);
    if response.status().is_success() && take_lost_response(shared) {
        return Err(ConnectionAbort::Requested);
    }
    Ok(response)
}

fn too_large() -> Response<Body> {
    let message = format!("the object exceeds {MAX_VALUE_BYTES} bytes");
    failure(StatusCode::PAYLOAD_TOO_LARGE, "RequestEntityTooLarge", &message)
}

/// Returns whether the response to this write has to be lost, and counts it off if so.
fn take_lost_response(shared: &Shared) -> bool {
    let mut taken = false;
    shared.switches.send_if_modified(|switches| {
        taken = switches.lost_answers > 0;
        switches.lost_answers = switches.lost_answers.saturating_sub(1);
        taken
    });
    taken
}

fn apply(shared: &Shared, target: &Target, method: &Method, body: &Bytes) -> Response<Body> {
    let object = match parse_body(body) {
        Ok(object) => object,
        Err(message) => return failure(StatusCode::BAD_REQUEST, "BadRequest", &message),
    };
    let body_name = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
    let path_name = target.name.clone().unwrap_or_else(|| body_name.clone());
    let from = object["metadata"]["resourceVersion"].as_str().map(str::to_owned);
    let now = Instant::now();
    let mut state = shared.state();
    let store = &mut state.store;
    let (code, result) = match (method, &target.name) {
        (&Method::POST, None) if !body_name.is_empty() => {
            (StatusCode::CREATED, store.create(&target.collection, &body_name, object, now))
        }
        (&Method::PUT, Some(name)) if *name == body_name => {
            let result = store.update(&target.collection, name, from.as_deref(), object, now);
            (StatusCode::OK, result)
        }
        (&Method::DELETE, Some(name)) => {
            let from = object["preconditions"]["resourceVersion"].as_str();
            let result = store.delete(&target.collection, name, from, now);
            let deleted = json!({ "apiVersion": "v1", "kind": "Status", "status": "Success" });
            (StatusCode::OK, result.map(|()| deleted))
        }
        _ => {
            let message = "method, path and metadata.name do not fit together";
            return failure(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", message);
        }
    };
    match result {
        Ok(value) => {
            state.counters.effects += 1;
            shared.newest.send_replace(state.store.version());
            json_response(code, &value)
        }
        Err(error) => error_response(error, &format!("{}/{path_name}", target.collection.plural)),
    }
}

fn parse_body(body: &Bytes) -> Result<Value, String> {
    if body.is_empty() {
        return Ok(json!({}));
    }
    match serde_json::from_slice(body) {
        Ok(Value::Object(members)) => Ok(Value::Object(members)),
        Ok(_) => Err("the body is not a JSON object".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
