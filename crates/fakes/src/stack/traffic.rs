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
pub enum Verdict {
    /// The whole answer to this very request.
    Whole,
    /// A refusal that says that the request was not run, with the request identifier.
    NotRun(String),
    /// Anything else.
    Broken(String),
}

/// Results of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that got their whole answer.
    pub whole: usize,
    /// Identifiers of the requests that were refused as not run.
    pub not_run: Vec<String>,
    /// What the others got.
    pub broken: Vec<String>,
}

/// Steady requests to a plain service, alternating between entries.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    task: JoinHandle<Tally>,
}

impl Traffic {
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
    pub async fn close(self) -> Tally {
        self.stop.cancel();
        self.task.await.expect("the sending task ends")
    }
}

impl Tally {
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
        assert_eq!(self.broken, Vec::<String>::new());
        assert!(self.whole > 0);
        for pair in &stack.upstreams {
            let record = stack.record(pair).await?;
            for id in &self.not_run {
                assert!(!record.runs_by_request.contains_key(id), "{id} ran and was `not_run`");
            }
        }
        Ok(())
    }

    fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Whole => self.whole += 1,
            Verdict::NotRun(id) => self.not_run.push(id),
            Verdict::Broken(what) => self.broken.push(what),
        }
    }
}

async fn send_all(
    caller: Caller,
    entries: Vec<SocketAddr>,
    interval: Duration,
    stop: CancellationToken,
) -> Tally {
    let mut requests = JoinSet::new();
    let mut number = 0;
    while !stop.is_cancelled() {
        let (caller, entry) = (caller.clone(), entries[number % entries.len()]);
        requests.spawn(async move { read_order(&caller, entry, number).await });
        number += 1;
        tokio::time::sleep(interval).await;
    }
    let mut tally = Tally::default();
    for verdict in requests.join_all().await {
        tally.add(verdict);
    }
    tally
}

/// Reads one work order and judges the answer.
pub async fn read_order(caller: &Caller, entry: SocketAddr, number: usize) -> Verdict {
    let path = format!("/orders/{number}");
    let answer =
        caller.send(entry, "GET", &format!("/v1/services/work-orders{path}"), &[], "").await;
    match answer {
        Ok(answer) => judge(&answer, &engine::serve_call("GET", &path, "")),
        Err(error) => Verdict::Broken(error.to_string()),
    }
}

/// Judges the answer to a request whose whole answer is `expected`.
pub fn judge(answer: &ReceivedResponse, expected: &Value) -> Verdict {
    if answer.status == 200 && answer.body == *expected {
        return Verdict::Whole;
    }
    let can_retry = answer.headers.contains_key("retry-after");
    if answer.body["outcome"] == "not_run" && can_retry {
        let id = answer.body["request_id"].as_str().unwrap_or_default();
        return Verdict::NotRun(id.to_owned());
    }
    Verdict::Broken(format!("{} {}", answer.status, answer.body))
}

/// Tells whether a streamed draft for an input is whole.
pub fn is_whole_draft(answer: &StreamedResponse, input: &str) -> bool {
    let expected = engine::generate(input, DRAFT_TOKENS).concat();
    let done = answer.done.as_ref();
    answer.text == expected && done.is_some_and(|it| it["output"]["text"] == expected)
}
