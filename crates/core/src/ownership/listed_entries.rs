//! Entries that the platform lists, while a restore may have cost it some of their records.

use crate::{FastMap, FastSet, revision::Revision};

/// Time after a restore for which an entry counts as listed although the restored list lacks it, in
/// milliseconds; entries write their records again within two seconds of reading the list.
const RELISTING_MS: u64 = 10_000;

/// Names of the listed entries.
#[derive(Debug, Default)]
pub struct ListedEntries {
    names: FastSet<String>,
    era: u64,
    relisting_until_ms: u64,
    /// Entries that the restored list lacks, with the time at which they count as removed.
    lacking: FastMap<String, u64>,
}

impl ListedEntries {
    /// Replaces the list, as read at a revision; returns the entries that are no longer listed.
    pub fn replace(
        &mut self,
        listed: FastSet<String>,
        revision: Revision,
        now_ms: u64,
    ) -> Vec<String> {
        if revision.era < self.era {
            return Vec::new();
        }
        if self.era < revision.era && !self.names.is_empty() {
            self.relisting_until_ms = now_ms + RELISTING_MS;
        }
        self.era = revision.era;
        self.lacking.retain(|name, _| !listed.contains(name));
        let missing: Vec<String> =
            self.names.iter().filter(|it| !listed.contains(*it)).cloned().collect();
        self.names.extend(listed);
        if now_ms < self.relisting_until_ms {
            for name in missing {
                self.lacking.entry(name).or_insert(self.relisting_until_ms);
            }
            return Vec::new();
        }
        for name in &missing {
            self.remove(name);
        }
        missing
    }

    /// Tells whether the platform lists an entry.
    pub fn is_listed(&self, name: &str) -> bool {
        self.names.contains(name) && !self.lacking.contains_key(name)
    }

    /// Adds an entry that was listed.
    pub fn add(&mut self, name: &str) {
        self.lacking.remove(name);
        if !self.names.contains(name) {
            self.names.insert(name.to_owned());
        }
    }

    /// Removes an entry that is no longer listed.
    pub fn remove(&mut self, name: &str) {
        self.lacking.remove(name);
        self.names.remove(name);
    }

    /// Removes entries that have not been listed again in time; returns their names.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<String> {
        let expired = self.lacking.iter().filter(|(_, due_ms)| **due_ms <= now_ms);
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.remove(name);
        }
        expired
    }
}

#[cfg(test)]
mod tests;
