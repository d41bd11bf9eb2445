//! Invalid requests are refused with a precise reason and do not affect other callers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yuccatrail_fakes::{
    stack::{
        caller::{Caller, ReceivedResponse},
        plan::StackPlan,
        run::Stack,
        traffic::{ResponseCheck, SteadyTraffic, is_complete_draft, read_order},
    },
    upstream::state::UpstreamSwitches,
};

/// Time between two requests of the other caller.
const INTERVAL: Duration = Duration::from_millis(20);
/// Body limit in the environment document, in bytes.
const MAX_BODY_BYTES: usize = 65_536;
const DRAFT: &str = "/v1/pipelines/draft";
const NOTICES: &str = "/v1/services/work-orders/notices";
const INPUT: &str = r#"{"input":"a"}"#;

/// An invalid request with the status and the reason of its refusal.
struct InvalidRequest {
    customer: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    reason: &'static str,
}

impl InvalidRequest {
    fn new(path: &'static str, body: &str, status: u16, reason: &'static str) -> Self {
        let body = body.to_owned();
        Self { customer: "lone-star", method: "POST", path, headers: &[], body, status, reason }
    }
}

fn invalid_requests() -> Vec<InvalidRequest> {
    let empty_key = [("idempotency-key", "")];
    let oversized = format!(r#"{{"input":"{}"}}"#, "a".repeat(MAX_BODY_BYTES));
    vec![
        InvalidRequest::new(DRAFT, "{\"input\":", 400, "bad_body"),
        InvalidRequest::new(DRAFT, "[1, 2]", 400, "bad_body"),
        InvalidRequest::new(DRAFT, r#"{"input":"a","other":1}"#, 400, "bad_body"),
        InvalidRequest::new(DRAFT, "\u{0}\u{1}", 400, "bad_body"),
        InvalidRequest::new(DRAFT, &oversized, 413, "body_too_large"),
        InvalidRequest::new("/v1/pipelines/none", INPUT, 404, "unknown_pipeline"),
        InvalidRequest::new("/v1/services/none/a", INPUT, 404, "unknown_service"),
        InvalidRequest::new("/elsewhere", INPUT, 404, "unknown_path"),
        InvalidRequest::new(NOTICES, INPUT, 400, "key_required"),
        InvalidRequest {
            headers: Box::leak(Box::new(empty_key)),
            ..InvalidRequest::new(NOTICES, INPUT, 400, "bad_header")
        },
        InvalidRequest {
            customer: "nobody",
            ..InvalidRequest::new(DRAFT, INPUT, 403, "unknown_customer")
        },
        InvalidRequest { method: "GET", ..InvalidRequest::new(DRAFT, "", 405, "bad_method") },
        InvalidRequest {
            headers: &[("x-deadline-ms", "soon")],
            ..InvalidRequest::new(DRAFT, INPUT, 400, "bad_header")
        },
        InvalidRequest {
            headers: &[("x-deadline-ms", "0")],
            ..InvalidRequest::new(DRAFT, INPUT, 400, "bad_header")
        },
        InvalidRequest {
            headers: &[("x-deadline-ms", "-5")],
            ..InvalidRequest::new(DRAFT, INPUT, 400, "bad_header")
        },
        InvalidRequest {
            headers: &[("x-deadline-ms", "99999999999999999999999")],
            ..InvalidRequest::new(DRAFT, INPUT, 400, "bad_header")
        },
    ]
}

/// Checks a problem document (RFC 9457).
fn check_problem(response: &ReceivedResponse, status: u16, reason: &str) {
    assert_eq!(response.status, status, "{}", response.body);
    assert_eq!(response.headers["content-type"], "application/problem+json");
    assert_eq!(response.body["status"], status);
    assert_eq!(response.body["reason"], reason);
    assert_eq!(response.body["outcome"], "not_run");
    for member in ["type", "title", "detail", "request_id"] {
        assert!(response.body[member].is_string(), "{member} in {}", response.body);
    }
}

async fn start() -> Stack {
    let plan = StackPlan::small(&["north"], &["north"]);
    Stack::start(plan).await.expect("the stack starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_do_not_affect_other_callers() {
    let stack = start().await;
    let entry = stack.entry(0);
    let traffic = SteadyTraffic::start(Caller::new("hill-country"), vec![entry], INTERVAL);
    for invalid in invalid_requests() {
        let caller = Caller::new(invalid.customer);
        let body = invalid.body.clone();
        let response =
            caller.send(entry, invalid.method, invalid.path, invalid.headers, body).await;
        check_problem(&response.expect("a response"), invalid.status, invalid.reason);
    }
    send_incomplete_body(entry).await;
    // A deadline that cannot be met is refused at once, with a time to retry.
    let headers = [("x-deadline-ms", "1")];
    let response =
        stack.caller.send(entry, "POST", DRAFT, &headers, INPUT).await.expect("a response");
    check_problem(&response, 503, "deadline_unreachable");
    assert!(response.headers.contains_key("retry-after"));
    let checked = traffic.close().await;
    checked.check(&stack).await.expect("records of the upstreams");
    assert_eq!(checked.not_run, Vec::<String>::new());
    assert_eq!(
        stack.record(&stack.upstreams[0]).await.expect("the record of the upstream").calls,
        0
    );
    stack.close().await.expect("all processes exit with success");
}

/// Sends an incomplete body and checks that it is refused.
async fn send_incomplete_body(entry: SocketAddr) {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let head = format!(
        "POST {DRAFT} HTTP/1.1\r\nhost: a\r\nx-customer: lone-star\r\ncontent-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut response = vec![0; 4096];
    let count = stream.read(&mut response).await.expect("a response");
    let text = String::from_utf8_lossy(&response[..count]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("body_too_slow") && text.contains("not_run"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_cancelled_when_its_caller_disconnects() {
    let stack = start().await;
    let (entry, caller) = (stack.entry(0), Caller::new("lone-star"));
    // Without a cancellation, a draft runs longer than the test waits.
    let slow = UpstreamSwitches { token_delay_ms: 1_200, ..UpstreamSwitches::default() };
    stack
        .set_upstream_switches(&stack.upstreams[0], &slow)
        .await
        .expect("the upstream is slowed down");
    for accept in ["text/event-stream", "application/json"] {
        let mut stream = TcpStream::connect(entry).await.expect("a connection");
        let head = format!(
            "POST {DRAFT} HTTP/1.1\r\nhost: a\r\nx-customer: lone-star\r\naccept: {accept}\r\n\
             content-length: {}\r\n\r\n{INPUT}",
            INPUT.len()
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        stack.wait_calls_running(0, 1).await.expect("the call is in progress");
        drop(stream);
        stack.wait_calls_running(0, 0).await.expect("the call is cancelled");
    }
    stack
        .set_upstream_switches(&stack.upstreams[0], &UpstreamSwitches::default())
        .await
        .expect("the upstream is fast again");
    let draft = caller.pipeline_stream(entry, "draft", "another").await;
    assert!(is_complete_draft(&draft.expect("a stream"), "another"));
    stack.close().await.expect("all processes exit with success");
}

#[tokio::test(flavor = "multi_thread")]
async fn http_1_and_http_2_are_served() {
    let stack = start().await;
    let entry = stack.entry(0);
    assert_eq!(read_order(&stack.caller, entry, 1).await, ResponseCheck::Complete);
    let stream = TcpStream::connect(entry).await.expect("a connection");
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("HTTP/2");
    let connection = tokio::spawn(connection);
    for customer in ["lone-star", "nobody"] {
        let request = Request::post(format!("http://{entry}{DRAFT}"))
            .header("x-customer", customer)
            .body(Full::new(Bytes::from(INPUT)))
            .expect("a request");
        let response = sender.send_request(request).await.expect("a response");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        match customer {
            "nobody" => assert_eq!((status, &body["reason"]), (403, &"unknown_customer".into())),
            _ => assert_eq!((status, &body["pipeline"]), (200, &"draft".into())),
        }
    }
    drop(sender);
    connection.abort();
    stack.close().await.expect("all processes exit with success");
}
