//! Form in which the platform stores the control state.

use serde::{Deserialize, Serialize};

use super::{ChangeId, ConfigRecord, OperationsRecord};
use crate::ids::Digest;

/// Number of past changes that a stored object lists, so that an author can find its own change.
const HISTORY_LIMIT: usize = 64;

/// The stored configuration.
pub type StoredConfig = Stored<ConfigRecord>;

/// The stored operational state.
pub type StoredOperations = Stored<OperationsRecord>;

/// Content of a platform object that holds a record of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// The record in force.
    pub record: T,
    /// The latest accepted changes, oldest first; the last one made `record`.
    pub history: Vec<HistoryEntry>,
}

/// One accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that the change made.
    pub version: u64,
    /// Digest of the record that the change made.
    pub digest: Digest,
    /// Author of the change.
    #[serde(rename = "author")]
    pub change_id: ChangeId,
}

impl<T> Stored<T> {
    /// Creates the content that follows `previous` with a new record.
    pub(crate) fn following(previous: Option<&Self>, record: T, entry: HistoryEntry) -> Self {
        let mut history = previous.map_or_else(Vec::new, |it| it.history.clone());
        history.push(entry);
        let excess = history.len().saturating_sub(HISTORY_LIMIT);
        history.drain(..excess);
        Self { record, history }
    }

    /// The change that made `version`, if it is recent enough to be listed.
    pub fn change(&self, version: u64) -> Option<&HistoryEntry> {
        self.history.iter().find(|it| it.version == version)
    }
}
