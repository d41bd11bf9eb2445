//! Execution of one call of a load, with a check of its response against the expected one.

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

/// Name of the pipeline that pipeline calls request.
const PIPELINE: &str = "read-back";
/// Name of the service that service calls request.
const SERVICE: &str = "work-orders";

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response was complete and as expected.
    Correct,
    /// The system refused the request with a problem document.
    Refused {
        /// Reason that the problem document gives.
        reason: String,
        /// Whether the request was executed, as the problem document says.
        outcome: String,
    },
    /// The response was complete but not as expected; holds a description of it.
    Wrong(String),
    /// The HTTP exchange failed, or the response was neither complete nor a problem document;
    /// holds a description of the failure.
    Broken(String),
}

/// One call as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The call.
    pub call: PlannedCall,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Request identifier that the system assigned, if the response had one.
    pub request_id: Option<String>,
    /// Time from the planned start to the end of the call, in microseconds.
    pub latency_us: u64,
    /// Time from the planned start to the first text of a stream, in microseconds.
    pub first_token_us: Option<u64>,
    /// Times between consecutive texts of a stream, in microseconds.
    pub token_gaps_us: Vec<u64>,
}

/// Arrival times of the texts of a stream.
#[derive(Debug, Default)]
struct TextArrivals {
    first: Option<Instant>,
    last: Option<Instant>,
    gaps_us: Vec<u64>,
}

impl TextArrivals {
    fn record(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.gaps_us.push((now - last).as_micros() as u64);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl PlannedCall {
    /// Returns the input of a pipeline call, which is unique within the load.
    pub fn input(&self) -> String {
        format!("question {} of {}", self.number, self.customer)
    }

    /// Returns the idempotency key of a service call that may run at most once; `key_prefix` has to
    /// be unique for each load.
    pub fn idempotency_key(&self, key_prefix: &str) -> String {
        format!("{key_prefix}-{}", self.number)
    }
}

/// Sends a call; its latency is measured from `intended`, the planned start.
pub async fn execute(
    caller: &Caller,
    entry: SocketAddr,
    call: PlannedCall,
    key_prefix: &str,
    intended: Instant,
) -> Observation {
    let mut arrivals = TextArrivals::default();
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

/// Outcome of a call with the request identifier, if the response had one.
type CheckedResponse = (CallOutcome, Option<String>);

async fn pipeline_plain(caller: &Caller, entry: SocketAddr, call: &PlannedCall) -> CheckedResponse {
    let input = call.input();
    let response = caller.pipeline(entry, PIPELINE, &input).await;
    check_response(response, |body| body["output"] == expected_output(&input))
}

async fn pipeline_streamed(
    caller: &Caller,
    entry: SocketAddr,
    call: &PlannedCall,
    arrivals: &mut TextArrivals,
) -> CheckedResponse {
    let input = call.input();
    let on_text = |_: &str| arrivals.record(Instant::now());
    let streamed = match caller.pipeline_stream_observed(entry, PIPELINE, &input, on_text).await {
        Ok(streamed) => streamed,
        Err(error) => return (CallOutcome::Broken(error.detail), None),
    };
    if let Some(problem) = streamed.problem {
        return (parse_refusal(&problem), string_field(&problem, "request_id"));
    }
    let Some(done) = streamed.done else {
        return (CallOutcome::Broken("the stream ended without a done event".to_owned()), None);
    };
    let id = string_field(&done, "request_id");
    let expected = expected_output(&input);
    if done["output"] == expected && expected["text"] == streamed.text.as_str() {
        return (CallOutcome::Correct, id);
    }
    (CallOutcome::Wrong(format!("stream for {input:?}: {done} after {:?}", streamed.text)), id)
}

async fn service_read(caller: &Caller, entry: SocketAddr, call: &PlannedCall) -> CheckedResponse {
    let target = format!("/order/{}", call.number);
    let path = format!("/v1/services/{SERVICE}{target}");
    let response = caller.send(entry, "GET", &path, &[], "").await;
    check_response(response, |body| *body == engine::serve_call("GET", &target, ""))
}

async fn service_write(
    caller: &Caller,
    entry: SocketAddr,
    call: &PlannedCall,
    key_prefix: &str,
) -> CheckedResponse {
    let sent = json!({ "notice": call.number }).to_string();
    let path = format!("/v1/services/{SERVICE}/notices");
    let key = call.idempotency_key(key_prefix);
    let response =
        caller.send(entry, "POST", &path, &[("idempotency-key", &key)], sent.clone()).await;
    check_response(response, |body| *body == engine::serve_call("POST", "/notices", &sent))
}

fn check_response(
    response: Result<ReceivedResponse, CallerError>,
    is_expected: impl FnOnce(&Value) -> bool,
) -> CheckedResponse {
    let response = match response {
        Ok(response) => response,
        Err(error) => return (CallOutcome::Broken(error.detail), None),
    };
    let id =
        response.headers.get("x-request-id").and_then(|it| it.to_str().ok()).map(str::to_owned);
    if response.status != 200 {
        return (parse_refusal(&response.body), id);
    }
    if is_expected(&response.body) {
        return (CallOutcome::Correct, id);
    }
    (CallOutcome::Wrong(format!("unexpected response {}", response.body)), id)
}

/// Reads the refusal from a problem document.
fn parse_refusal(problem: &Value) -> CallOutcome {
    match (string_field(problem, "reason"), string_field(problem, "outcome")) {
        (Some(reason), Some(outcome)) => CallOutcome::Refused { reason, outcome },
        _ => CallOutcome::Broken(format!("not a problem document: {problem}")),
    }
}

fn expected_output(input: &str) -> Value {
    let expected = expected::pipeline(input);
    json!({ "documents": expected.documents, "text": expected.text })
}

fn string_field(value: &Value, name: &str) -> Option<String> {
    Some(value[name].as_str()?.to_owned())
}
