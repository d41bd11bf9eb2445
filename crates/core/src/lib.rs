//! Decision logic of the yuccatrail serving system: pure state machines with explicit time.
//!
//! Nothing in this crate performs I/O, reads a clock or draws random numbers. Each module takes an
//! event together with the current time in milliseconds and returns plain values that tell the
//! caller what to do, so the same code runs in the daemons, in fuzz tests and embedded in other
//! programs.

pub mod accounting;
pub mod admission;
pub mod agent;
pub mod at_most_once;
pub mod attempt;
pub mod batching;
pub mod body_memory;
pub mod capacity;
pub mod connection_limit;
pub mod control;
pub mod deadline;
pub mod document;
pub mod drain;
pub mod event_stream;
pub mod freshness;
pub mod hedge;
pub mod ids;
pub mod membership;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod platform_updates;
pub mod quarantine;
pub mod queue;
pub mod request_limit;
pub mod retry_share;
pub mod revision;
pub mod rollout;
pub mod route_table;
pub mod routing;
pub mod sabotage;
pub mod stage_graph;
pub mod stop_admission;
pub mod stream_origin;
pub mod upstreams;

mod switch;
mod token_bucket;

/// Hash map with a fast, non-cryptographic hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
