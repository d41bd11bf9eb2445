//! Answers of pipelines and services as HTTP responses.

use std::convert::Infallible;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;
use yuccatrail_core::{document::Pipeline, ids::RequestId};
use yuccatrail_runtime::http::{Body, respond};

use super::problem::Problem;
use crate::run::pipeline::PipelineAnswer;

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AnswerEvent {
    /// A part of the generated text.
    Text(String),
    /// The whole answer; the stream is complete.
    Done(Value),
    /// The request failed; the stream ends without a complete answer.
    Problem(Value),
}

impl AnswerEvent {
    fn to_frame(&self) -> Frame<Bytes> {
        let text = match self {
            Self::Text(text) => event("text", &json!({ "text": text })),
            Self::Done(value) => event("done", value),
            Self::Problem(value) => event("problem", value),
        };
        Frame::data(Bytes::from(text))
    }
}

/// Builds the JSON form of a pipeline's answer.
pub(crate) fn pipeline_json(id: RequestId, pipeline: &Pipeline, answer: &PipelineAnswer) -> Value {
    let mut stages = Vec::new();
    for (stage, usage) in pipeline.stages.iter().zip(&answer.usage) {
        stages.push(json!({
            "pool": stage.pool,
            "engine_ms": usage.engine_ms,
            "queued_ms": usage.queued_ms,
            "tokens": usage.tokens,
        }));
    }
    json!({
        "request_id": id.to_string(),
        "pipeline": pipeline.name,
        "output": answer.data,
        "stages": stages,
    })
}

/// Answers with one JSON document.
pub(crate) fn whole(value: &Value) -> Response<Body> {
    respond(StatusCode::OK, "application/json", value.to_string())
}

/// Answers with server-sent events.
pub(crate) fn streamed(events: UnboundedReceiver<AnswerEvent>) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(frames(events)).boxed_unsync());
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    let no_store = header::HeaderValue::from_static("no-store");
    response.headers_mut().insert(header::CACHE_CONTROL, no_store);
    response
}

/// Builds the event that reports a problem.
pub(crate) fn problem_event(problem: &Problem, id: RequestId) -> AnswerEvent {
    AnswerEvent::Problem(problem.to_json(id))
}

fn frames(
    events: UnboundedReceiver<AnswerEvent>,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    futures::stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((Ok(event.to_frame()), events))
    })
}

fn event(name: &str, data: &Value) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}
