//! Steady load whose responses are all checked.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::{
    caller::{Caller, ReceivedResponse, StreamedResponse},
    run::{Stack, StackError},
};
use crate::upstream::engine;

/// Number of tokens that the `draft` pipeline of the small document generates.
pub const DRAFT_TOKENS: usize = 24;

/// Result of checking the response to one request.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseCheck {
    /// The complete and correct response to this request.
    Complete,
    /// A refusal with the outcome `not_run` and a time to retry; holds the request ID.
    NotRun(String),
    /// Any other response or a broken exchange; holds a description.
    Unexpected(String),
}

/// Checked responses to all requests of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedResponses {
    /// Number of requests with a complete and correct response.
    pub complete: usize,
    /// IDs of the requests that were refused with the outcome `not_run`.
    pub not_run: Vec<String>,
    /// Descriptions of the results of all other requests.
    pub unexpected: Vec<String>,
}

/// Steady load on a plain service, alternating between entries.
#[derive(Debug)]
pub struct SteadyTraffic {
    stop: CancellationToken,
    task: JoinHandle<CheckedResponses>,
}

impl SteadyTraffic {
    /// Starts sending one request every `interval`.
    pub fn start(caller: Caller, entries: Vec<SocketAddr>, interval: Duration) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(send_all(caller, entries, interval, stop.clone()));
        Self { stop, task }
    }

    /// Stops sending and waits for the responses to all requests that were sent.
    ///
    /// # Panics
    ///
    /// Panics when the task that sends the requests has panicked.
    pub async fn close(self) -> CheckedResponses {
        self.stop.cancel();
        self.task.await.expect("the sending task does not panic")
    }
}

impl CheckedResponses {
    /// Checks that every response was complete or a `not_run` refusal, and that no upstream ran a
    /// request that was refused with `not_run`.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not response.
    ///
    /// # Panics
    ///
    /// Panics when the check fails.
    pub async fn check(&self, stack: &Stack) -> Result<(), StackError> {
        assert_eq!(self.unexpected, Vec::<String>::new());
        assert!(self.complete > 0);
        for pair in &stack.upstreams {
            let record = stack.record(pair).await?;
            for id in &self.not_run {
                assert!(
                    !record.runs_by_request.contains_key(id),
                    "request {id} was refused with `not_run` but ran"
                );
            }
        }
        Ok(())
    }

    fn add(&mut self, check: ResponseCheck) {
        match check {
            ResponseCheck::Complete => self.complete += 1,
            ResponseCheck::NotRun(id) => self.not_run.push(id),
            ResponseCheck::Unexpected(what) => self.unexpected.push(what),
        }
    }
}

async fn send_all(
    caller: Caller,
    entries: Vec<SocketAddr>,
    interval: Duration,
    stop: CancellationToken,
) -> CheckedResponses {
    let mut requests = JoinSet::new();
    let mut number = 0;
    while !stop.is_cancelled() {
        let (caller, entry) = (caller.clone(), entries[number % entries.len()]);
        requests.spawn(async move { read_order(&caller, entry, number).await });
        number += 1;
        tokio::time::sleep(interval).await;
    }
    let mut responses = CheckedResponses::default();
    for check in requests.join_all().await {
        responses.add(check);
    }
    responses
}

/// Requests one work order and checks the response.
pub async fn read_order(caller: &Caller, entry: SocketAddr, number: usize) -> ResponseCheck {
    let path = format!("/orders/{number}");
    let response =
        caller.send(entry, "GET", &format!("/v1/services/work-orders{path}"), &[], "").await;
    match response {
        Ok(response) => check_response(&response, &engine::serve_call("GET", &path, "")),
        Err(error) => ResponseCheck::Unexpected(error.to_string()),
    }
}

/// Checks a response against the expected body.
pub fn check_response(response: &ReceivedResponse, expected: &Value) -> ResponseCheck {
    if response.status == 200 && response.body == *expected {
        return ResponseCheck::Complete;
    }
    let can_retry = response.headers.contains_key("retry-after");
    if response.body["outcome"] == "not_run" && can_retry {
        let id = response.body["request_id"].as_str().unwrap_or_default();
        return ResponseCheck::NotRun(id.to_owned());
    }
    ResponseCheck::Unexpected(format!("{} {}", response.status, response.body))
}

/// Returns whether a streamed draft is the complete one for an input.
pub fn is_complete_draft(response: &StreamedResponse, input: &str) -> bool {
    let expected = engine::generate(input, DRAFT_TOKENS).concat();
    let done = response.done.as_ref();
    response.text == expected && done.is_some_and(|it| it["output"]["text"] == expected)
}
