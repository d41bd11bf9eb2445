//! Expected responses, computed from the stand-ins' algorithms without the system in between.

use serde_json::Value;

use crate::upstream::engine;

/// Number of documents that the demo pipeline retrieves.
const RETRIEVED_DOCUMENTS: usize = 6;
/// Number of documents that the demo pipeline keeps after reranking.
const RERANKED_DOCUMENTS: usize = 3;
/// Number of tokens that the demo and the short pipeline generate.
const GENERATED_TOKENS: usize = 16;
/// Path of the idempotent search call at the service's upstream.
const SEARCH_PATH: &str = "/search";

/// Expected response of the demo pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedOutput {
    /// Documents in descending order of relevance.
    pub documents: Vec<String>,
    /// Generated text.
    pub text: String,
}

/// Computes the response of the demo pipeline to an input.
pub fn pipeline(input: &str) -> ExpectedOutput {
    let found = engine::search(&engine::embed(input), RETRIEVED_DOCUMENTS);
    let mut documents = Vec::new();
    for index in engine::rerank(input, &found, RERANKED_DOCUMENTS) {
        documents.push(found[index].clone());
    }
    let mut prompt = documents.join("\n");
    prompt.push('\n');
    prompt.push_str(input);
    let text = engine::generate(&prompt, GENERATED_TOKENS).concat();
    ExpectedOutput { documents, text }
}

/// Computes the text that the `explain` pipeline of the short document generates for an input.
pub fn explanation(input: &str) -> String {
    engine::generate(input, GENERATED_TOKENS).concat()
}

/// Computes the response of the service to a search with the given body.
pub fn search(body: &str) -> Value {
    engine::serve_call("POST", SEARCH_PATH, body)
}
