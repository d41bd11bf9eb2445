//! HTTP responses of pipelines, as JSON or as server-sent events.

use std::convert::Infallible;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde_json::{Value, json};
use tokio::sync::{mpsc::UnboundedReceiver, oneshot};
use yuccatrail_core::{document::Pipeline, ids::RequestId};
use yuccatrail_runtime::http::{Body, respond};

use crate::run::{pipeline::PipelineResponse, stage_call};

/// Last event of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LastEvent {
    /// The request completed; the data is the complete response.
    Completed(Value),
    /// The request was refused or failed; the data is a problem document.
    Failed(Value),
}

/// A streamed response in progress.
pub(crate) struct ResponseStream {
    /// Stream events of the last stage's upstream.
    pub(crate) chunks: UnboundedReceiver<Bytes>,
    /// Last event, sent after all chunks.
    pub(crate) last: oneshot::Receiver<LastEvent>,
}

/// Builds the JSON body of a pipeline's response.
pub(crate) fn pipeline_json(
    id: RequestId,
    pipeline: &Pipeline,
    response: &PipelineResponse,
) -> Value {
    let mut stages = Vec::new();
    for (stage, usage) in pipeline.stages.iter().zip(&response.usage) {
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
        "output": response.data,
        "stages": stages,
    })
}

/// Builds a response with a JSON body.
pub(crate) fn json(value: &Value) -> Response<Body> {
    respond(StatusCode::OK, "application/json", value.to_string())
}

/// Builds a response that streams server-sent events.
pub(crate) fn event_stream(stream: ResponseStream) -> Response<Body> {
    let mut response = Response::new(StreamBody::new(event_frames(stream)).boxed_unsync());
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    let no_store = header::HeaderValue::from_static("no-store");
    response.headers_mut().insert(header::CACHE_CONTROL, no_store);
    response
}

fn event_frames(stream: ResponseStream) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
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
    // A chunk without text fails the request when its stage ends.
    let text = stage_call::chunk_text(chunk).unwrap_or_default();
    event("text", &json!({ "text": text }))
}

fn last_frame(last: &LastEvent) -> Frame<Bytes> {
    match last {
        LastEvent::Completed(value) => event("done", value),
        LastEvent::Failed(value) => event("problem", value),
    }
}

fn event(name: &str, data: &Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("event: {name}\ndata: {data}\n\n")))
}
