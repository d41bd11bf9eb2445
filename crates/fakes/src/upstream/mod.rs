//! Stand-in for any kind of upstream: model engine, encoder, retriever, reranker or plain service.

pub mod engine;
pub mod server;
pub mod state;
