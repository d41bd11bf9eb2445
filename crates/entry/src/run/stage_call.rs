//! Converts pipeline data to upstream calls and back, for each kind of pool.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yuccatrail_core::document::{Pool, PoolKind, Stage};
use yuccatrail_rpc::messages::{ResponseForm, UpstreamCall};

/// Number of documents that a retrieve or rerank stage keeps unless `top_k` is set.
const DEFAULT_TOP_K: u32 = 8;
/// Maximum number of tokens that a stage generates unless `max_tokens` is set.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of a caller's pipeline request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PipelineInput {
    /// Text to process, such as a question.
    pub(crate) input: String,
    /// Maximum number of tokens to generate; can only lower the limit of the stage.
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
}

/// Data passed from stage to stage.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct PipelineData {
    /// Embedding of the input.
    #[serde(skip)]
    pub(crate) embedding: Option<Value>,
    /// Documents retrieved and reranked so far, best first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) documents: Option<Vec<String>>,
    /// Generated text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<String>,
}

/// Error: the upstream's response does not have the form required by the kind of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedResponse;

/// Builds the upstream call of a stage from the data of the earlier stages.
pub(crate) fn build(
    pool: &Pool,
    stage: &Stage,
    input: &PipelineInput,
    data: &PipelineData,
) -> UpstreamCall {
    let top_k = stage.top_k.unwrap_or(DEFAULT_TOP_K);
    match pool.kind {
        PoolKind::Encode => {
            post("/v1/embeddings", &json!({ "model": pool.model, "input": input.input }))
        }
        PoolKind::Retrieve => post(
            "/v1/search",
            &json!({ "vector": data.embedding, "limit": top_k, "query": input.input }),
        ),
        PoolKind::Rerank => {
            let documents = data.documents.as_deref().unwrap_or_default();
            let body = json!({
                "model": pool.model, "query": input.input, "documents": documents, "top_n": top_k,
            });
            post("/v1/rerank", &body)
        }
        PoolKind::Generate => {
            let body = json!({
                "model": pool.model,
                "prompt": prompt(input, data),
                "max_tokens": max_tokens(pool, stage, input),
                "stream": true,
            });
            UpstreamCall { response: ResponseForm::Events, ..post("/v1/completions", &body) }
        }
        PoolKind::Service => post("/", &json!({ "input": input.input })),
    }
}

/// Returns the maximum number of tokens that a stage generates for any request.
pub(crate) fn declared_tokens(pool: &Pool, stage: &Stage) -> u32 {
    match pool.kind {
        PoolKind::Generate => stage.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        _ => 0,
    }
}

/// Returns the maximum number of tokens that a stage generates for this request.
pub(crate) fn max_tokens(pool: &Pool, stage: &Stage, input: &PipelineInput) -> u32 {
    let limit = declared_tokens(pool, stage);
    input.max_tokens.map_or(limit, |it| it.min(limit))
}

/// Updates the pipeline data with the complete output of a stage.
///
/// # Errors
///
/// Returns [`MalformedResponse`] if the output does not have the form required by the pool's kind.
pub(crate) fn apply_response(
    pool: &Pool,
    chunks: &[Bytes],
    data: &mut PipelineData,
) -> Result<(), MalformedResponse> {
    if pool.kind == PoolKind::Generate {
        let mut text = String::new();
        for chunk in chunks {
            text.push_str(&chunk_text(chunk)?);
        }
        data.text = Some(text);
        return Ok(());
    }
    let [body] = chunks else { return Err(MalformedResponse) };
    let value: Value = serde_json::from_slice(body).map_err(|_| MalformedResponse)?;
    match pool.kind {
        PoolKind::Encode => {
            data.embedding =
                Some(value.pointer("/data/0/embedding").ok_or(MalformedResponse)?.clone());
        }
        PoolKind::Retrieve => data.documents = Some(retrieved_documents(&value)?),
        PoolKind::Rerank => {
            let documents = data.documents.take().unwrap_or_default();
            data.documents = Some(reranked_documents(&value, &documents)?);
        }
        PoolKind::Generate | PoolKind::Service => {}
    }
    Ok(())
}

/// Extracts the generated text from the data of a stream event.
///
/// # Errors
///
/// Returns [`MalformedResponse`] if the event contains no text.
pub(crate) fn chunk_text(chunk: &[u8]) -> Result<String, MalformedResponse> {
    let value: Value = serde_json::from_slice(chunk).map_err(|_| MalformedResponse)?;
    let text = value.pointer("/choices/0/text").and_then(Value::as_str).ok_or(MalformedResponse)?;
    Ok(text.to_owned())
}

fn prompt(input: &PipelineInput, data: &PipelineData) -> String {
    let mut prompt = String::new();
    for document in data.documents.as_deref().unwrap_or_default() {
        prompt.push_str(document);
        prompt.push('\n');
    }
    prompt.push_str(&input.input);
    prompt
}

fn retrieved_documents(value: &Value) -> Result<Vec<String>, MalformedResponse> {
    let documents = value.pointer("/documents").ok_or(MalformedResponse)?;
    serde_json::from_value(documents.clone()).map_err(|_| MalformedResponse)
}

fn reranked_documents(
    value: &Value,
    documents: &[String],
) -> Result<Vec<String>, MalformedResponse> {
    let results = value.pointer("/results").and_then(Value::as_array).ok_or(MalformedResponse)?;
    let mut ranked = Vec::new();
    for result in results {
        let index = result.pointer("/index").and_then(Value::as_u64).ok_or(MalformedResponse)?;
        let document = documents.get(index as usize).ok_or(MalformedResponse)?;
        ranked.push(document.clone());
    }
    Ok(ranked)
}

fn post(path: &str, body: &Value) -> UpstreamCall {
    UpstreamCall {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: Some("application/json".to_owned()),
        idempotency_key: None,
        body: Bytes::from(body.to_string()),
        response: ResponseForm::Whole,
    }
}
