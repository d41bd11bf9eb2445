//! Format in which the platform stores the control state.

use serde::{Deserialize, Serialize};

use super::{ChangeId, ConfigRecord, OperationsRecord};
use crate::ids::Digest;

/// Number of past changes kept in a stored object, so that a flow whose response was lost can find
/// its own change.
const MAX_HISTORY_ENTRIES: usize = 64;

/// The stored configuration.
pub type StoredConfig = Stored<ConfigRecord>;

/// The stored operational state.
pub type StoredOperations = Stored<OperationsRecord>;

/// Content of a platform object that stores a record of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// The record in force.
    pub record: T,
    /// The latest accepted changes, oldest first; the last one created `record`.
    pub history: Vec<HistoryEntry>,
}

/// One accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version created by the change.
    pub version: u64,
    /// Digest of the record created by the change.
    pub digest: Digest,
    /// Identifier of the change.
    #[serde(rename = "author")]
    pub change_id: ChangeId,
}

impl<T> Stored<T> {
    /// Returns the content that replaces `previous`, with a new record.
    pub(crate) fn successor(previous: Option<&Self>, record: T, entry: HistoryEntry) -> Self {
        let mut history = previous.map_or_else(Vec::new, |it| it.history.clone());
        history.push(entry);
        let excess = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        history.drain(..excess);
        Self { record, history }
    }

    /// Returns the change that created `version`, if it is recent enough to be in the history.
    pub fn change(&self, version: u64) -> Option<&HistoryEntry> {
        self.history.iter().find(|it| it.version == version)
    }
}
