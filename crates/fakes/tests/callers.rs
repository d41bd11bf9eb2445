//! What callers do wrong is refused clearly and costs nobody else anything.

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

/// Time between two requests of the well-behaved caller.
const INTERVAL: Duration = Duration::from_millis(20);
/// Largest body that the document allows, in bytes.
const MAX_BODY_BYTES: usize = 65_536;
const DRAFT: &str = "/v1/pipelines/draft";
const NOTICES: &str = "/v1/services/work-orders/notices";
const INPUT: &str = r#"{"input":"a"}"#;

/// A faulty request with the status and the reason that it has to get.
struct Fault {
    customer: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    reason: &'static str,
}

impl Fault {
    fn new(path: &'static str, body: &str, status: u16, reason: &'static str) -> Self {
        let body = body.to_owned();
        Self { customer: "lone-star", method: "POST", path, headers: &[], body, status, reason }
    }
}

fn faults() -> Vec<Fault> {
    let long_key = [("idempotency-key", "")];
    let oversized = format!(r#"{{"input":"{}"}}"#, "a".repeat(MAX_BODY_BYTES));
    vec![
        Fault::new(DRAFT, "{\"input\":", 400, "bad_body"),
        Fault::new(DRAFT, "[1, 2]", 400, "bad_body"),
        Fault::new(DRAFT, r#"{"input":"a","other":1}"#, 400, "bad_body"),
        Fault::new(DRAFT, "\u{0}\u{1}", 400, "bad_body"),
        Fault::new(DRAFT, &oversized, 413, "body_too_large"),
        Fault::new("/v1/pipelines/none", INPUT, 404, "unknown_pipeline"),
        Fault::new("/v1/services/none/a", INPUT, 404, "unknown_service"),
        Fault::new("/elsewhere", INPUT, 404, "unknown_path"),
        Fault::new(NOTICES, INPUT, 400, "key_required"),
        Fault {
            headers: Box::leak(Box::new(long_key)),
            ..Fault::new(NOTICES, INPUT, 400, "bad_header")
        },
        Fault { customer: "nobody", ..Fault::new(DRAFT, INPUT, 403, "unknown_customer") },
        Fault { method: "GET", ..Fault::new(DRAFT, "", 405, "bad_method") },
        Fault {
            headers: &[("x-deadline-ms", "soon")],
            ..Fault::new(DRAFT, INPUT, 400, "bad_header")
        },
        Fault { headers: &[("x-deadline-ms", "0")], ..Fault::new(DRAFT, INPUT, 400, "bad_header") },
        Fault {
            headers: &[("x-deadline-ms", "-5")],
            ..Fault::new(DRAFT, INPUT, 400, "bad_header")
        },
        Fault {
            headers: &[("x-deadline-ms", "99999999999999999999999")],
            ..Fault::new(DRAFT, INPUT, 400, "bad_header")
        },
    ]
}

/// Checks a problem document (RFC 9457).
fn check_problem(answer: &ReceivedResponse, status: u16, reason: &str) {
    assert_eq!(answer.status, status, "{}", answer.body);
    assert_eq!(answer.headers["content-type"], "application/problem+json");
    assert_eq!(answer.body["status"], status);
    assert_eq!(answer.body["reason"], reason);
    assert_eq!(answer.body["outcome"], "not_run");
    for member in ["type", "title", "detail", "request_id"] {
        assert!(answer.body[member].is_string(), "{member} in {}", answer.body);
    }
}

async fn start() -> Stack {
    let plan = StackPlan::small(&["north"], &["north"]);
    Stack::start(plan).await.expect("the stack starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_requests_are_refused_and_cost_nobody_else_anything() {
    let stack = start().await;
    let entry = stack.entry(0);
    let traffic = SteadyTraffic::start(Caller::new("hill-country"), vec![entry], INTERVAL);
    for fault in faults() {
        let caller = Caller::new(fault.customer);
        let body = fault.body.clone();
        let answer = caller.send(entry, fault.method, fault.path, fault.headers, body).await;
        check_problem(&answer.expect("an answer"), fault.status, fault.reason);
    }
    slow_body(entry).await;
    // A deadline that nothing can meet is refused at once, with a time to try again.
    let headers = [("x-deadline-ms", "1")];
    let answer = stack.caller.send(entry, "POST", DRAFT, &headers, INPUT).await.expect("an answer");
    check_problem(&answer, 503, "deadline_unreachable");
    assert!(answer.headers.contains_key("retry-after"));
    let tally = traffic.close().await;
    tally.check(&stack).await.expect("records");
    assert_eq!(tally.not_run, Vec::<String>::new());
    assert_eq!(stack.record(&stack.upstreams[0]).await.expect("a record").calls, 0);
    stack.close().await.expect("a clean stop");
}

/// Sends half a body and waits for the refusal.
async fn slow_body(entry: SocketAddr) {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    let head = format!(
        "POST {DRAFT} HTTP/1.1\r\nhost: a\r\nx-customer: lone-star\r\ncontent-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 4096];
    let count = stream.read(&mut answer).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("body_too_slow") && text.contains("not_run"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_work_of_a_caller_that_goes_away_is_cancelled() {
    let stack = start().await;
    let (entry, caller) = (stack.entry(0), Caller::new("lone-star"));
    // A draft that is not cancelled runs longer than the test waits.
    let slow = UpstreamSwitches { token_delay_ms: 1_200, ..UpstreamSwitches::default() };
    stack.set_upstream_switches(&stack.upstreams[0], &slow).await.expect("slow");
    for accept in ["text/event-stream", "application/json"] {
        let mut stream = TcpStream::connect(entry).await.expect("a connection");
        let head = format!(
            "POST {DRAFT} HTTP/1.1\r\nhost: a\r\nx-customer: lone-star\r\naccept: {accept}\r\n\
             content-length: {}\r\n\r\n{INPUT}",
            INPUT.len()
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        stack.wait_calls_running(0, 1).await.expect("the request runs");
        drop(stream);
        stack.wait_calls_running(0, 0).await.expect("the request is cancelled");
    }
    stack
        .set_upstream_switches(&stack.upstreams[0], &UpstreamSwitches::default())
        .await
        .expect("fast");
    let draft = caller.pipeline_stream(entry, "draft", "another").await;
    assert!(is_complete_draft(&draft.expect("a stream"), "another"));
    stack.close().await.expect("a clean stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn both_versions_of_http_are_served() {
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
    stack.close().await.expect("a clean stop");
}
