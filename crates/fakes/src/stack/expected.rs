//! Answers that the stand-ins give for a request, computed without the system in between.

use serde_json::Value;

use crate::upstream::engine;

/// Documents that the demo pipeline retrieves.
const RETRIEVED: usize = 6;
/// Documents that the demo pipeline keeps.
const KEPT: usize = 3;
/// Tokens that each pipeline generates.
const TOKENS: usize = 16;
/// Path of an idempotent call at the service.
const SEARCH_PATH: &str = "/search";

/// Expected answer of the demo pipeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Documents, best first.
    pub documents: Vec<String>,
    /// Generated text.
    pub text: String,
}

/// Computes the demo pipeline's answer for an input.
pub fn pipeline(input: &str) -> Expected {
    let found = engine::search(&engine::embed(input), RETRIEVED);
    let mut documents = Vec::new();
    for index in engine::rerank(input, &found, KEPT) {
        documents.push(found[index].clone());
    }
    let mut prompt = documents.join("\n");
    prompt.push('\n');
    prompt.push_str(input);
    let text = engine::generate(&prompt, TOKENS).concat();
    Expected { documents, text }
}

/// Computes the text of the short pipeline for an input.
pub fn explanation(input: &str) -> String {
    engine::generate(input, TOKENS).concat()
}

/// Computes the answer of the service to a search with a body.
pub fn search(body: &str) -> Value {
    engine::serve_call("POST", SEARCH_PATH, body)
}
