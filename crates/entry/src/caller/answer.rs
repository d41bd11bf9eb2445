//! Answers of pipelines and services as HTTP responses.

use std::convert::Infallible;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde_json::{Value, json};
use tokio::sync::{mpsc::UnboundedReceiver, oneshot};
use yuccatrail_core::{document::Pipeline, ids::RequestId};
use yuccatrail_runtime::http::{Body, respond};

use crate::run::{pipeline::PipelineAnswer, stage_call};

/// Last event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LastEvent {
    /// The whole answer; the stream is complete.
    Done(Value),
    /// The request failed; the stream ends without a complete answer.
    Problem(Value),
}

/// A streamed answer in progress.
pub(crate) struct AnswerStream {
    /// Chunks of generated text as the upstream sent them.
    pub(crate) chunks: UnboundedReceiver<Bytes>,
    /// The last event, which follows all chunks.
    pub(crate) last: oneshot::Receiver<LastEvent>,
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
pub(crate) fn streamed(stream: AnswerStream) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(frames(stream)).boxed_unsync());
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    let no_store = header::HeaderValue::from_static("no-store");
    response.headers_mut().insert(header::CACHE_CONTROL, no_store);
    response
}

fn frames(stream: AnswerStream) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    futures::stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        if let Some(chunk) = stream.chunks.recv().await {
            return Some((Ok(text_frame(&chunk)), Some(stream)));
        }
        let last = stream.last.await.ok()?;
        Some((Ok(last_frame(&last)), None))
    })
}

fn text_frame(chunk: &[u8]) -> Frame<Bytes> {
    // A chunk without text is found when the stage ends, which fails the request.
    let text = stage_call::chunk_text(chunk).unwrap_or_default();
    event("text", &json!({ "text": text }))
}

fn last_frame(last: &LastEvent) -> Frame<Bytes> {
    match last {
        LastEvent::Done(value) => event("done", value),
        LastEvent::Problem(value) => event("problem", value),
    }
}

fn event(name: &str, data: &Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("event: {name}\ndata: {data}\n\n")))
}
