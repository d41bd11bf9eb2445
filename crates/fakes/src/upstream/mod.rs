//! Stand-in for an upstream: model engine, encoder, retriever, reranker or plain service.

pub mod engine;
pub mod server;
pub mod state;
