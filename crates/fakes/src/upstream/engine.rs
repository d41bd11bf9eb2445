//! Deterministic results that depend on the input, so that a test can detect a response to another
//! request.

use serde_json::{Value, json};
use yuccatrail_core::ids::Digest;

/// Number of dimensions of an embedding.
const EMBEDDING_DIMENSIONS: usize = 4;

/// Returns the embedding of a text, one byte for each dimension.
pub fn embed(text: &str) -> Vec<u8> {
    Digest::of(text.as_bytes()).0[..EMBEDDING_DIMENSIONS].to_vec()
}

/// Returns `limit` documents for an embedding.
pub fn search(embedding: &[u8], limit: usize) -> Vec<String> {
    let mut documents = Vec::new();
    for rank in 0..limit {
        documents.push(format!("document {rank} for {embedding:?}"));
    }
    documents
}

/// Returns the indices of the `top_n` documents in the order of their relevance to the query, which
/// is derived from digests.
pub fn rerank(query: &str, documents: &[String], top_n: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..documents.len()).collect();
    order.sort_by_key(|&it| short_digest(&format!("{query}|{}", documents[it])));
    order.truncate(top_n);
    order
}

/// Returns `count` generated tokens for a prompt.
pub fn generate(prompt: &str, count: usize) -> Vec<String> {
    let seed = short_digest(prompt);
    let mut tokens = Vec::new();
    for position in 0..count {
        tokens.push(format!("{seed}-{position} "));
    }
    tokens
}

/// Returns the response to a plain service call: its method, its path and a digest of its body.
pub fn serve_call(method: &str, path: &str, body: &str) -> Value {
    json!({ "method": method, "path": path, "body": short_digest(body) })
}

/// Returns the first eight hexadecimal digits of the digest of a text.
pub fn short_digest(text: &str) -> String {
    let mut digits = Digest::of(text.as_bytes()).to_string();
    digits.truncate(8);
    digits
}
