//! The strike, as processes pass it on to each other.

use serde::{Deserialize, Serialize};

use crate::ids::{Digest, Incarnation};

/// An upstream stopped while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Strike {
    /// Digest of the customer, target and body of the request.
    pub fingerprint: Digest,
    /// The run of the agent whose upstream stopped.
    pub agent: Incarnation,
    /// Number of the upstream stop, counted by that agent.
    pub number: u32,
    /// Whether no other request was in progress at the upstream.
    pub alone: bool,
    /// Whether the request has completed since, so that the strike no longer counts.
    pub cleared: bool,
    /// Time since the stop, in milliseconds.
    pub age_ms: u64,
}
