//! The service calls and pipelines of the benchmark, made directly at the upstream stand-ins.
//!
//! They give the latency without entry and agent.

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

/// Number of documents that the retriever returns in the demo pipeline.
const SEARCH_LIMIT: usize = 6;
/// Number of documents that the reranker returns in the demo pipeline.
const RERANK_TOP_N: usize = 3;
/// Number of tokens that the engine generates in the demo pipeline.
const MAX_TOKENS: usize = 16;
/// Data of the event that ends a token stream.
const STREAM_END: &str = "[DONE]";

/// Addresses of one upstream stand-in for each stage of the demo pipeline.
#[derive(Clone, Copy, Debug)]
pub struct StageAddresses {
    /// Stand-in in pool `encoders`.
    pub encoder: SocketAddr,
    /// Stand-in in pool `retrievers`.
    pub retriever: SocketAddr,
    /// Stand-in in pool `rerankers`.
    pub reranker: SocketAddr,
    /// Stand-in in pool `engines`.
    pub engine: SocketAddr,
}

/// Calls a service at its upstream stand-in.
///
/// # Errors
///
/// Returns the errors of [`check_response`].
pub async fn call_service(
    caller: &Caller,
    upstream: SocketAddr,
    number: u64,
) -> Result<(), String> {
    let path = format!("/order/{number}");
    let response = caller.send(upstream, "GET", &path, &[], "").await;
    check_response(response, |body| *body == engine::serve_call("GET", &path, ""))
}

/// Checks that a response has status 200 and the expected body.
///
/// # Errors
///
/// Returns `reason/outcome` of a problem document, the detail of a broken HTTP exchange, or
/// `wrong answer` for any other response.
pub fn check_response(
    response: Result<ReceivedResponse, CallerError>,
    is_expected: impl FnOnce(&Value) -> bool,
) -> Result<(), String> {
    let response = response.map_err(|it| it.detail)?;
    if response.status == 200 && is_expected(&response.body) {
        return Ok(());
    }
    let text = |name: &str| response.body[name].as_str().map(str::to_owned);
    match (text("reason"), text("outcome")) {
        (Some(reason), Some(outcome)) => Err(format!("{reason}/{outcome}")),
        _ => Err("wrong answer".to_owned()),
    }
}

/// Calls the four stages of the demo pipeline in order and checks the generated text.
///
/// # Errors
///
/// Returns the detail of a broken HTTP exchange, or `wrong answer` for an unexpected text.
pub async fn run_pipeline(
    caller: &Caller,
    stages: StageAddresses,
    input: &str,
) -> Result<(), String> {
    let text = call_stages(caller, stages, input).await.map_err(|it| it.detail)?;
    if text == expected::pipeline(input).text { Ok(()) } else { Err("wrong answer".to_owned()) }
}

async fn call_stages(
    caller: &Caller,
    stages: StageAddresses,
    input: &str,
) -> Result<String, CallerError> {
    let encoded = post(caller, stages.encoder, "/v1/embeddings", json!({ "input": input })).await?;
    let vector = &encoded["data"][0]["embedding"];
    let body = json!({ "vector": vector, "limit": SEARCH_LIMIT, "query": input });
    let search = post(caller, stages.retriever, "/v1/search", body).await?;
    let documents = &search["documents"];
    let body = json!({ "query": input, "documents": documents, "top_n": RERANK_TOP_N });
    let reranked = post(caller, stages.reranker, "/v1/rerank", body).await?;
    let mut prompt = String::new();
    for result in reranked["results"].as_array().map_or(&[][..], Vec::as_slice) {
        let index = result["index"].as_u64().unwrap_or_default() as usize;
        prompt.push_str(documents[index].as_str().unwrap_or_default());
        prompt.push('\n');
    }
    prompt.push_str(input);
    let body = json!({ "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": true });
    stream_completion(caller, stages.engine, body).await
}

async fn post(
    caller: &Caller,
    address: SocketAddr,
    path: &str,
    body: Value,
) -> Result<Value, CallerError> {
    Ok(caller.send(address, "POST", path, &[], body.to_string()).await?.body)
}

async fn stream_completion(
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
    Err(CallerError { detail: "token stream ended without its end event".to_owned() })
}
