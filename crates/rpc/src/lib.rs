//! Typed messages between entries and agents: tarpc services over WebSocket with CBOR frames.

pub mod entries;
pub mod messages;
pub mod service;
pub mod transport;
