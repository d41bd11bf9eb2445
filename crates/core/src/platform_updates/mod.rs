//! Updates that the entries which read the platform pass on to those that follow them.
//!
//! At a hundred entries, reading the platform at each of them costs a hundred calls for every change.
//! A few entries of each data centre read it, and the others ask one of them for the updates since
//! their last question. A follower that is new, or too far behind, gets the complete lists instead.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ownership::EntryAddress,
    revision::Revision,
    rollout::RolloutObject,
    upstreams::{Evacuation, UpstreamRecord},
};

/// Number of updates that are kept for followers; followers ask several times a second.
const MAX_UPDATES: usize = 64;

/// Change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// An upstream was added, or its record changed.
    Listed(UpstreamRecord),
    /// The upstream with this identifier was removed.
    Unlisted(String),
}

/// Change of the list of entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryChange {
    /// An entry was added, or its record changed.
    Listed(EntryAddress),
    /// The entry with this name was removed.
    Unlisted(String),
}

/// Change of one data centre: its name, and the number of the revision that evacuated it; none if it is
/// in service.
pub type EvacuationChange = (String, Option<u64>);

/// Update of one of the platform's lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformUpdate {
    /// All upstreams.
    Upstreams {
        /// Revision at which they were listed.
        revision: Revision,
        /// Their records.
        records: Vec<UpstreamRecord>,
    },
    /// Changes of the list of upstreams, in the order in which they were made.
    UpstreamChanges {
        /// Revision up to which they are complete.
        revision: Revision,
        /// The changes.
        changes: Vec<UpstreamChange>,
    },
    /// All evacuated data centres.
    Evacuations {
        /// Revision at which they were listed.
        revision: Revision,
        /// The evacuations.
        listed: Vec<Evacuation>,
    },
    /// Changes of the list of evacuated data centres; empty if the platform states that there are none.
    EvacuationChanges {
        /// Revision up to which they are complete.
        revision: Revision,
        /// The changes.
        changes: Vec<EvacuationChange>,
    },
    /// All objects of roll-outs.
    Rollouts {
        /// Revision at which they were listed.
        revision: Revision,
        /// The objects, each with its name; none for one that can't be read, whose last readable state
        /// stays.
        listed: Vec<(String, Option<RolloutObject>)>,
    },
    /// Changes of the objects of roll-outs, in the order in which they were made; empty if the platform
    /// states that there are none.
    RolloutChanges {
        /// Revision up to which they are complete.
        revision: Revision,
        /// The name and the new state of each object; none if it was removed. An object that can't be
        /// read is left out.
        changes: Vec<(String, Option<RolloutObject>)>,
    },
    /// All entries.
    Entries {
        /// Revision at which they were listed.
        revision: Revision,
        /// Their records.
        entries: Vec<EntryAddress>,
    },
    /// Changes of the list of entries, in the order in which they were made.
    EntryChanges {
        /// The changes.
        changes: Vec<EntryChange>,
    },
    /// The platform is available again after an outage; upstreams may be missing for a while.
    Recovered,
}

/// Position of a follower in the log of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCursor {
    /// Run of the log; another one after a restart of the entry and after each complete list.
    pub epoch: u64,
    /// Number of the next update.
    pub next: u64,
}

/// Updates that an entry has received lately.
#[derive(Clone, Debug)]
pub struct UpdateLog {
    epoch: u64,
    /// Number of the oldest update.
    first: u64,
    updates: VecDeque<Arc<PlatformUpdate>>,
}

impl UpdateLog {
    /// Creates an empty log; `epoch` has to differ from those of earlier runs of the entry.
    pub fn new(epoch: u64) -> Self {
        Self { epoch, first: 0, updates: VecDeque::new() }
    }

    /// Adds an update; after a complete list, followers have to start from the complete lists.
    pub fn append(&mut self, update: PlatformUpdate) {
        let is_complete = matches!(
            update,
            PlatformUpdate::Upstreams { .. }
                | PlatformUpdate::Evacuations { .. }
                | PlatformUpdate::Rollouts { .. }
                | PlatformUpdate::Entries { .. }
        );
        if is_complete {
            *self = Self::new(self.epoch.wrapping_add(1));
            return;
        }
        if self.updates.len() >= MAX_UPDATES {
            self.updates.pop_front();
            self.first += 1;
        }
        self.updates.push_back(Arc::new(update));
    }

    /// Returns the position after the last update.
    pub fn cursor(&self) -> LogCursor {
        LogCursor { epoch: self.epoch, next: self.first + self.updates.len() as u64 }
    }

    /// Returns the updates after a position; none if the follower has to start from the complete lists.
    pub fn since(&self, cursor: LogCursor) -> Option<Vec<Arc<PlatformUpdate>>> {
        let skipped = cursor.next.checked_sub(self.first)? as usize;
        if cursor.epoch != self.epoch || skipped > self.updates.len() {
            return None;
        }
        Some(self.updates.iter().skip(skipped).cloned().collect())
    }
}

#[cfg(test)]
mod tests;
