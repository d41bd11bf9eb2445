//! Steady requests whose answers are all checked.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::{
    caller::{Caller, ReceivedResponse, StreamedResponse},
    run::{Stack, StackError},
};
use crate::upstream::engine;

/// Tokens that the pipeline of the small document generates.
pub const DRAFT_TOKENS: usize = 24;

/// Result of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseCheck {
    /// The whole answer to this very request.
    Complete,
    /// A refusal that says that the request was not run, with the request identifier.
    NotRun(String),
    /// Anything else.
    Unexpected(String),
}

/// Results of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedResponses {
    /// Requests that got their whole answer.
    pub complete: usize,
    /// Identifiers of the requests that were refused as not run.
    pub not_run: Vec<String>,
    /// What the others got.
    pub unexpected: Vec<String>,
}

/// Steady requests to a plain service, alternating between entries.
#[derive(Debug)]
pub struct SteadyTraffic {
    stop: CancellationToken,
    task: JoinHandle<CheckedResponses>,
}

impl SteadyTraffic {
    /// Starts to send one request every `interval`.
    pub fn start(caller: Caller, entries: Vec<SocketAddr>, interval: Duration) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(send_all(caller, entries, interval, stop.clone()));
        Self { stop, task }
    }

    /// Sends no more requests and waits for the answers to all that were sent.
    ///
    /// # Panics
    ///
    /// Panics when the sending task has failed.
    pub async fn close(self) -> CheckedResponses {
        self.stop.cancel();
        self.task.await.expect("the sending task ends")
    }
}

impl CheckedResponses {
    /// Checks that no request was lost and that none that was refused as not run has run.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not answer.
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
                assert!(!record.runs_by_request.contains_key(id), "{id} ran and was `not_run`");
            }
        }
        Ok(())
    }

    fn add(&mut self, verdict: ResponseCheck) {
        match verdict {
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
    let mut tally = CheckedResponses::default();
    for verdict in requests.join_all().await {
        tally.add(verdict);
    }
    tally
}

/// Reads one work order and judges the answer.
pub async fn read_order(caller: &Caller, entry: SocketAddr, number: usize) -> ResponseCheck {
    let path = format!("/orders/{number}");
    let answer =
        caller.send(entry, "GET", &format!("/v1/services/work-orders{path}"), &[], "").await;
    match answer {
        Ok(answer) => check_response(&answer, &engine::serve_call("GET", &path, "")),
        Err(error) => ResponseCheck::Unexpected(error.to_string()),
    }
}

/// Judges the answer to a request whose whole answer is `expected`.
pub fn check_response(answer: &ReceivedResponse, expected: &Value) -> ResponseCheck {
    if answer.status == 200 && answer.body == *expected {
        return ResponseCheck::Complete;
    }
    let can_retry = answer.headers.contains_key("retry-after");
    if answer.body["outcome"] == "not_run" && can_retry {
        let id = answer.body["request_id"].as_str().unwrap_or_default();
        return ResponseCheck::NotRun(id.to_owned());
    }
    ResponseCheck::Unexpected(format!("{} {}", answer.status, answer.body))
}

/// Tells whether a streamed draft for an input is whole.
pub fn is_complete_draft(answer: &StreamedResponse, input: &str) -> bool {
    let expected = engine::generate(input, DRAFT_TOKENS).concat();
    let done = answer.done.as_ref();
    answer.text == expected && done.is_some_and(|it| it["output"]["text"] == expected)
}
