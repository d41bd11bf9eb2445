//! Versioned control state shared by all processes: configuration and operational state.
//!
//! Each process holds a [`ControlState`], whose versions never decrease. Operators change the state
//! with a [`ChangeFlow`]; a change is accepted by one conditional update on the platform.

mod operations;
mod change;
mod sabotage;
mod state;
mod stored;

#[cfg(test)]
mod tests;

pub use change::{ChangeAction, ChangeEvent, ChangeFlow, ChangeId, ChangeResult};
pub use operations::OperationsChange;
pub use sabotage::Sabotage;
pub use state::{Adoption, ControlState, UpdateAdoption};
pub use stored::{HistoryEntry, Stored, StoredConfig, StoredOperations};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::Digest;

/// Time between two exchanges of control state with a peer, in milliseconds.
///
/// Three exchanges and a short pause must fit into the time within which every process has to act
/// on an accepted change.
pub const SYNC_INTERVAL_MS: u64 = 500;

/// Versions of the control state that a process holds; zero means that it holds none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the environment document.
    pub config: u64,
    /// Version of the operational state.
    pub operations: u64,
}

impl Versions {
    /// Tells whether either part of `self` is newer than that of `other`.
    pub fn has_newer_than(self, other: Self) -> bool {
        self.config > other.config || self.operations > other.operations
    }
}

/// An accepted environment document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version, incremented by each accepted promotion.
    pub version: u64,
    /// Digest of `text`.
    pub digest: Digest,
    /// The TOML text, byte for byte as it was promoted.
    pub text: Arc<str>,
}

/// Operational state: what operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationsRecord {
    /// Version, incremented by each accepted change.
    pub version: u64,
    /// Names of data centres that receive no new work, sorted.
    pub data_centres_out: Vec<String>,
    /// Names of upstreams that receive no new work, sorted.
    pub upstreams_leaving: Vec<String>,
}

/// Parts of the control state that one process sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlUpdate {
    /// The configuration, if the receiver holds an older one.
    pub config: Option<ConfigRecord>,
    /// The operational state, if the receiver holds an older one.
    pub operations: Option<OperationsRecord>,
}

impl ControlUpdate {
    /// Tells whether the update contains neither part.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.operations.is_none()
    }
}
