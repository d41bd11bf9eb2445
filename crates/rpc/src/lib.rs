//! RPC among entries and agents: tarpc services whose messages are CBOR in WebSocket frames.

pub mod document;
pub mod entries;
pub mod messages;
pub mod service;
pub mod transport;
