//! HTTP server of the upstream stand-in, in the style of common inference servers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatrail_runtime::{
    clock::Clock,
    http::{self, Body, respond},
    open_connections::OpenConnections,
};

use super::{
    engine,
    state::{Call, Upstream, UpstreamSwitches},
};

const JSON: &str = "application/json";
/// Connections that the stand-in takes; more than any load opens.
const MAX_CONNECTIONS: usize = 100_000;
/// Prefix of the log line for a call; the request ID and the idempotency key follow.
pub const CALL_LINE_PREFIX: &str = "call ";

/// Serves requests until `stop` is cancelled.
pub async fn serve(listener: TcpListener, upstream: Arc<Upstream>, stop: CancellationToken) {
    let connections = OpenConnections::new(MAX_CONNECTIONS, Clock::new());
    let handler = move |request| handle(upstream.clone(), request);
    http::serve(Arc::new(listener), connections, || false, stop, handler).await;
}

/// Body of a text generation request.
#[derive(Deserialize)]
struct CompletionRequest {
    prompt: String,
    max_tokens: usize,
}

/// Body of an embedding request.
#[derive(Deserialize)]
struct EmbeddingRequest {
    input: String,
}

/// Body of a search request.
#[derive(Deserialize)]
struct SearchRequest {
    vector: Vec<u8>,
    limit: usize,
}

/// Body of a rerank request.
#[derive(Deserialize)]
struct RerankRequest {
    query: String,
    documents: Vec<String>,
    top_n: usize,
}

/// Guard that ends a call when it is dropped, also if the caller disconnects.
struct CallGuard {
    upstream: Arc<Upstream>,
    call: Call,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.upstream.end_call(self.call);
    }
}

async fn handle(upstream: Arc<Upstream>, request: Request<Incoming>) -> Response<Body> {
    let limit = upstream.switches().request_limit;
    let mut response = dispatch(upstream, request).await;
    if let Some(limit) = limit.and_then(|it| it.parse().ok()) {
        response.headers_mut().insert("x-request-limit", limit);
    }
    response
}

async fn dispatch(upstream: Arc<Upstream>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path == "/health" {
        let record = upstream.record();
        return json_response(
            &json!({ "boot_id": record.boot_id.to_string(), "warm": record.warm }),
        );
    }
    if let Some(rest) = path.strip_prefix("/fake/") {
        return handle_admin(&upstream, rest, request).await;
    }
    run_call(upstream, request).await
}

async fn handle_admin(
    upstream: &Upstream,
    action: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    match action {
        "record" => json_response(&json!(upstream.record())),
        "cold" => {
            upstream.turn_cold();
            json_response(&json!({}))
        }
        "switches" => {
            let body = read_body(request).await;
            let Ok(switches) = serde_json::from_slice::<UpstreamSwitches>(&body) else {
                return respond(StatusCode::BAD_REQUEST, JSON, "{}");
            };
            upstream.set_switches(switches);
            json_response(&json!({}))
        }
        _ => respond(StatusCode::NOT_FOUND, JSON, "{}"),
    }
}

async fn run_call(upstream: Arc<Upstream>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().to_string();
    let path = request.uri().path_and_query().map_or_else(String::new, ToString::to_string);
    let request_id = header_value(&request, "x-request-id").unwrap_or_default();
    let key = header_value(&request, "idempotency-key");
    let body = read_body(request).await;
    let text = String::from_utf8_lossy(&body).into_owned();
    let switches = upstream.switches();
    if switches.log_calls {
        println!("{CALL_LINE_PREFIX}{request_id} {}", key.as_deref().unwrap_or_default());
    }
    if switches.crash_on.as_ref().is_some_and(|it| text.contains(it.as_str())) {
        std::process::abort();
    }
    let Some(call) = upstream.start_call(&request_id, key.as_deref()) else {
        return respond(StatusCode::SERVICE_UNAVAILABLE, JSON, r#"{"error":"engine restarted"}"#);
    };
    let call_guard = CallGuard { upstream, call };
    // The timer has a resolution of 1 ms, so even a sleep of zero would delay the call.
    if switches.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(switches.delay_ms)).await;
    }
    if let Some(status) = switches.fail_status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return respond(status, JSON, r#"{"error":"switched to fail"}"#);
    }
    match path.as_str() {
        "/v1/completions" => stream_completion(&body, &switches, call_guard),
        "/v1/embeddings" => respond_to(
            &body,
            |it: EmbeddingRequest| json!({ "data": [{ "embedding": engine::embed(&it.input) }] }),
        ),
        "/v1/search" => respond_to(
            &body,
            |it: SearchRequest| json!({ "documents": engine::search(&it.vector, it.limit) }),
        ),
        "/v1/rerank" => respond_to(&body, |it: RerankRequest| {
            let order = engine::rerank(&it.query, &it.documents, it.top_n);
            let results: Vec<Value> = order.iter().map(|it| json!({ "index": it })).collect();
            json!({ "results": results })
        }),
        _ => json_response(&engine::serve_call(&method, &path, &text)),
    }
}

/// Parses a body and responds with the value that `compute` returns for it.
fn respond_to<T: for<'de> Deserialize<'de>>(
    body: &[u8],
    compute: impl FnOnce(T) -> Value,
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(parsed) => json_response(&compute(parsed)),
        Err(error) => respond(
            StatusCode::BAD_REQUEST,
            JSON,
            json!({ "error": error.to_string() }).to_string(),
        ),
    }
}

/// Streams the tokens of a text generation request; the call ends with the stream.
fn stream_completion(
    body: &[u8],
    switches: &UpstreamSwitches,
    call_guard: CallGuard,
) -> Response<Body> {
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(body) else {
        return respond(StatusCode::BAD_REQUEST, JSON, r#"{"error":"bad completion request"}"#);
    };
    let mut events = Vec::new();
    for token in engine::generate(&request.prompt, request.max_tokens) {
        events.push(format!("data: {}\n\n", json!({ "choices": [{ "text": token }] })));
    }
    events.push("data: [DONE]\n\n".to_owned());
    if let Some(count) = switches.cut_after_tokens {
        events.truncate(count as usize);
    }
    let delay = Duration::from_millis(switches.token_delay_ms);
    let frames = stream::iter(events).then(move |event| {
        // Moves the guard into the closure, so that it lives as long as the stream.
        let held = &call_guard;
        let _ = held;
        async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            Ok(Frame::data(Bytes::from(event)))
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn json_response(value: &Value) -> Response<Body> {
    respond(StatusCode::OK, JSON, value.to_string())
}

fn header_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn read_body(request: Request<Incoming>) -> Bytes {
    request.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default()
}
