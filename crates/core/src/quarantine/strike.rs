//! Strike, as exchanged between processes.

use serde::{Deserialize, Serialize};

use crate::ids::{Digest, Incarnation};

/// Record that an upstream crashed while running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Strike {
    /// Digest of the customer, target and body of the request.
    pub fingerprint: Digest,
    /// Incarnation of the agent whose upstream crashed.
    pub agent: Incarnation,
    /// Number of the crash, counted by that agent incarnation.
    pub number: u32,
    /// Whether no other request was in progress at the upstream.
    pub alone: bool,
    /// Whether the request has completed since the crash, so that the strike no longer counts.
    pub cleared: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}
