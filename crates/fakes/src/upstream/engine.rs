//! Deterministic answers, so that a test can tell whose request an answer belongs to.

use serde_json::{Value, json};
use yuccatrail_core::ids::Digest;

/// Dimensions of an embedding.
const DIMENSIONS: usize = 4;

/// Computes the embedding of a text.
pub fn embed(text: &str) -> Vec<u8> {
    Digest::of(text.as_bytes()).0[..DIMENSIONS].to_vec()
}

/// Finds `limit` documents for an embedding.
pub fn search(embedding: &[u8], limit: usize) -> Vec<String> {
    let mut documents = Vec::new();
    for rank in 0..limit {
        documents.push(format!("document {rank} for {embedding:?}"));
    }
    documents
}

/// Returns the indices of the `top_n` documents that fit the query best.
pub fn rerank(query: &str, documents: &[String], top_n: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..documents.len()).collect();
    order.sort_by_key(|&it| short_digest(&format!("{query}|{}", documents[it])));
    order.truncate(top_n);
    order
}

/// Generates `count` tokens for a prompt.
pub fn generate(prompt: &str, count: usize) -> Vec<String> {
    let seed = short_digest(prompt);
    let mut tokens = Vec::new();
    for position in 0..count {
        tokens.push(format!("{seed}-{position} "));
    }
    tokens
}

/// Answers a plain service call.
pub fn serve_call(method: &str, path: &str, body: &str) -> Value {
    json!({ "method": method, "path": path, "body": short_digest(body) })
}

/// Returns the first eight hexadecimal digits of a text's digest.
pub fn short_digest(text: &str) -> String {
    let mut digits = Digest::of(text.as_bytes()).to_string();
    digits.truncate(8);
    digits
}
