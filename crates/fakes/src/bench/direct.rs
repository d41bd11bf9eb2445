//! The same work as through the system, with the stand-ins called directly.

use std::net::SocketAddr;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::BodyStream;
use serde_json::{Value, json};

use crate::{
    stack::{
        caller::{Caller, CallerError, ReceivedResponse},
        expected,
    },
    upstream::engine,
};

/// Documents that the demo pipeline retrieves.
const RETRIEVED: usize = 6;
/// Documents that the demo pipeline keeps.
const KEPT: usize = 3;
/// Tokens that the demo pipeline generates.
const TOKENS: usize = 16;
/// Event that ends a stream of tokens.
const STREAM_END: &str = "[DONE]";

/// Addresses of one stand-in for each stage of the demo pipeline.
#[derive(Clone, Copy, Debug)]
pub struct StageAddresses {
    /// Encoder.
    pub encoder: SocketAddr,
    /// Retriever.
    pub retriever: SocketAddr,
    /// Reranker.
    pub reranker: SocketAddr,
    /// Engine.
    pub engine: SocketAddr,
}

/// Calls a service stand-in.
///
/// # Errors
///
/// Returns what came instead of the right answer.
pub async fn service(caller: &Caller, upstream: SocketAddr, number: u64) -> Result<(), String> {
    let path = format!("/order/{number}");
    let answer = caller.send(upstream, "GET", &path, &[], "").await;
    expect(answer, |body| *body == engine::serve_call("GET", &path, ""))
}

/// Compares an answer with the expected one.
///
/// # Errors
///
/// Returns what came instead of the right answer: the reason and outcome of a problem document, the
/// fault of the exchange, or `wrong answer`.
pub fn expect(
    answer: Result<ReceivedResponse, CallerError>,
    is_right: impl FnOnce(&Value) -> bool,
) -> Result<(), String> {
    let answer = answer.map_err(|it| it.detail)?;
    if answer.status == 200 && is_right(&answer.body) {
        return Ok(());
    }
    let text = |name: &str| answer.body[name].as_str().map(str::to_owned);
    match (text("reason"), text("outcome")) {
        (Some(reason), Some(outcome)) => Err(format!("{reason}/{outcome}")),
        _ => Err("wrong answer".to_owned()),
    }
}

/// Runs the demo pipeline's four calls in order.
///
/// # Errors
///
/// Returns what came instead of the right text.
pub async fn pipeline(caller: &Caller, stages: StageAddresses, input: &str) -> Result<(), String> {
    let text = four_calls(caller, stages, input).await.map_err(|it| it.detail)?;
    if text == expected::pipeline(input).text { Ok(()) } else { Err("wrong answer".to_owned()) }
}

async fn four_calls(
    caller: &Caller,
    stages: StageAddresses,
    input: &str,
) -> Result<String, CallerError> {
    let encoded = post(caller, stages.encoder, "/v1/embeddings", json!({ "input": input })).await?;
    let vector = &encoded["data"][0]["embedding"];
    let body = json!({ "vector": vector, "limit": RETRIEVED, "query": input });
    let found = post(caller, stages.retriever, "/v1/search", body).await?;
    let documents = &found["documents"];
    let body = json!({ "query": input, "documents": documents, "top_n": KEPT });
    let ranked = post(caller, stages.reranker, "/v1/rerank", body).await?;
    let mut prompt = String::new();
    for result in ranked["results"].as_array().map_or(&[][..], Vec::as_slice) {
        let index = result["index"].as_u64().unwrap_or_default() as usize;
        prompt.push_str(documents[index].as_str().unwrap_or_default());
        prompt.push('\n');
    }
    prompt.push_str(input);
    let body = json!({ "prompt": prompt, "max_tokens": TOKENS, "stream": true });
    complete(caller, stages.engine, body).await
}

async fn post(
    caller: &Caller,
    address: SocketAddr,
    path: &str,
    body: Value,
) -> Result<Value, CallerError> {
    Ok(caller.send(address, "POST", path, &[], body.to_string()).await?.body)
}

async fn complete(
    caller: &Caller,
    address: SocketAddr,
    body: Value,
) -> Result<String, CallerError> {
    let response =
        caller.send_for_head(address, "POST", "/v1/completions", &[], body.to_string()).await?;
    let chunks = BodyStream::new(response.into_body())
        .filter_map(|frame| async move { frame.map(|it| it.into_data().ok()).transpose() });
    let mut events = std::pin::pin!(chunks.eventsource());
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|it| CallerError { detail: it.to_string() })?;
        if event.data == STREAM_END {
            return Ok(text);
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Err(CallerError { detail: "the stream was cut".to_owned() })
}
