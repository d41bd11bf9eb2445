//! One call of a load, with its answer compared to the expected one.

use std::{net::SocketAddr, time::Instant};

use serde_json::{Value, json};

use super::plan::{CallKind, PlannedCall};
use crate::{
    stack::{
        caller::{Caller, CallerError, ReceivedResponse},
        expected,
    },
    upstream::engine,
};

/// Pipeline that pipeline calls request.
const PIPELINE: &str = "read-back";
/// Service that service calls request.
const SERVICE: &str = "work-orders";

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole expected answer arrived.
    Correct,
    /// The system refused the request.
    Refused {
        /// Reason in the problem document.
        reason: String,
        /// What the problem document says about the execution.
        outcome: String,
    },
    /// A complete answer arrived that is not the expected one.
    Wrong(String),
    /// The exchange broke or the answer is neither complete nor a problem document.
    Broken(String),
}

/// What the caller of one call saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The call.
    pub call: PlannedCall,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Request identifier that the system gave, if it is known.
    pub request_id: Option<String>,
    /// Time from the intended start to the end, in microseconds.
    pub latency_us: u64,
    /// Time from the intended start to the first text of a stream, in microseconds.
    pub first_token_us: Option<u64>,
    /// Times between texts of a stream, in microseconds.
    pub token_gaps_us: Vec<u64>,
}

/// Arrival times of a stream's texts.
#[derive(Debug, Default)]
struct Arrivals {
    first: Option<Instant>,
    last: Option<Instant>,
    gaps_us: Vec<u64>,
}

impl Arrivals {
    fn note(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.gaps_us.push((now - last).as_micros() as u64);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl PlannedCall {
    /// Returns the input of a pipeline call, which differs from that of every other call.
    pub fn input(&self) -> String {
        format!("question {} of {}", self.number, self.customer)
    }

    /// Returns the idempotency key of a service call that may run at most once.
    pub fn idempotency_key(&self, key_prefix: &str) -> String {
        format!("{key_prefix}-{}", self.number)
    }
}

/// Makes a call; `intended` is the time from which its latency counts.
pub async fn execute(
    caller: &Caller,
    entry: SocketAddr,
    call: PlannedCall,
    key_prefix: &str,
    intended: Instant,
) -> Observation {
    let mut arrivals = Arrivals::default();
    let (outcome, request_id) = match call.kind {
        CallKind::PipelinePlain => pipeline_plain(caller, entry, &call).await,
        CallKind::PipelineStreamed => pipeline_streamed(caller, entry, &call, &mut arrivals).await,
        CallKind::ServiceRead => service_read(caller, entry, &call).await,
        CallKind::ServiceWrite => service_write(caller, entry, &call, key_prefix).await,
    };
    let since = |it: Instant| it.saturating_duration_since(intended).as_micros() as u64;
    Observation {
        call,
        outcome,
        request_id,
        latency_us: since(Instant::now()),
        first_token_us: arrivals.first.map(since),
        token_gaps_us: arrivals.gaps_us,
    }
}

type Judged = (CallOutcome, Option<String>);

async fn pipeline_plain(caller: &Caller, entry: SocketAddr, call: &PlannedCall) -> Judged {
    let input = call.input();
    let answer = caller.pipeline(entry, PIPELINE, &input).await;
    judge(answer, |body| body["output"] == expected_output(&input))
}

async fn pipeline_streamed(
    caller: &Caller,
    entry: SocketAddr,
    call: &PlannedCall,
    arrivals: &mut Arrivals,
) -> Judged {
    let input = call.input();
    let on_text = |_: &str| arrivals.note(Instant::now());
    let streamed = match caller.pipeline_stream_observed(entry, PIPELINE, &input, on_text).await {
        Ok(streamed) => streamed,
        Err(error) => return (CallOutcome::Broken(error.detail), None),
    };
    if let Some(problem) = streamed.problem {
        return (refused(&problem), text(&problem, "request_id"));
    }
    let Some(done) = streamed.done else {
        return (CallOutcome::Broken("the stream ended without its final event".to_owned()), None);
    };
    let id = text(&done, "request_id");
    let expected = expected_output(&input);
    if done["output"] == expected && expected["text"] == streamed.text.as_str() {
        return (CallOutcome::Correct, id);
    }
    (CallOutcome::Wrong(format!("stream for {input:?}: {done} after {:?}", streamed.text)), id)
}

async fn service_read(caller: &Caller, entry: SocketAddr, call: &PlannedCall) -> Judged {
    let target = format!("/order/{}", call.number);
    let path = format!("/v1/services/{SERVICE}{target}");
    let answer = caller.send(entry, "GET", &path, &[], "").await;
    judge(answer, |body| *body == engine::serve_call("GET", &target, ""))
}

async fn service_write(
    caller: &Caller,
    entry: SocketAddr,
    call: &PlannedCall,
    key_prefix: &str,
) -> Judged {
    let sent = json!({ "notice": call.number }).to_string();
    let path = format!("/v1/services/{SERVICE}/notices");
    let key = call.idempotency_key(key_prefix);
    let answer =
        caller.send(entry, "POST", &path, &[("idempotency-key", &key)], sent.clone()).await;
    judge(answer, |body| *body == engine::serve_call("POST", "/notices", &sent))
}

fn judge(
    answer: Result<ReceivedResponse, CallerError>,
    is_right: impl FnOnce(&Value) -> bool,
) -> Judged {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return (CallOutcome::Broken(error.detail), None),
    };
    let id = answer.headers.get("x-request-id").and_then(|it| it.to_str().ok()).map(str::to_owned);
    if answer.status != 200 {
        return (refused(&answer.body), id);
    }
    if is_right(&answer.body) {
        return (CallOutcome::Correct, id);
    }
    (CallOutcome::Wrong(format!("unexpected answer {}", answer.body)), id)
}

/// Reads a problem document.
fn refused(problem: &Value) -> CallOutcome {
    match (text(problem, "reason"), text(problem, "outcome")) {
        (Some(reason), Some(outcome)) => CallOutcome::Refused { reason, outcome },
        _ => CallOutcome::Broken(format!("no problem document: {problem}")),
    }
}

fn expected_output(input: &str) -> Value {
    let expected = expected::pipeline(input);
    json!({ "documents": expected.documents, "text": expected.text })
}

fn text(value: &Value, name: &str) -> Option<String> {
    Some(value[name].as_str()?.to_owned())
}
