//! Exchange of the platform's lists among entries.
//!
//! An entry that cannot follow the platform adopts newer lists from one that does. Revisions come
//! from the platform and rise with every change, so an older list never replaces a newer one.

use serde::{Deserialize, Serialize};

use crate::upstreams::{ListUpdate, UpstreamRecord, Upstreams};

/// Revisions of the platform's lists that are in use; each rises with every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRevisions {
    /// Revision of the list of upstreams.
    pub upstreams: u64,
    /// Revision of the list of data centres that receive no work.
    pub evacuations: u64,
}

impl ListRevisions {
    /// Tells whether either list is newer than the same list of `other`.
    pub fn has_newer_than(self, other: Self) -> bool {
        self.upstreams > other.upstreams || self.evacuations > other.evacuations
    }
}

/// The platform's lists as held by one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformLists {
    /// Revisions of the lists.
    pub revisions: ListRevisions,
    /// Records of the upstreams, each with the remaining time for which it is treated as cold.
    pub upstreams: Vec<UpstreamRecord>,
    /// Data centres that receive no work.
    pub evacuated: Vec<String>,
    /// Names of the entries that share the limits of the upstreams.
    pub entries: Vec<String>,
}

impl Upstreams {
    /// Returns the lists to send to other entries; none before this entry has received the platform's
    /// lists of upstreams and entries.
    pub fn platform_lists(&self, now_ms: u64) -> Option<PlatformLists> {
        if !self.has_platform_list() {
            return None;
        }
        let records = self.all.values().map(|it| UpstreamRecord {
            cold_remaining_ms: it.cold_until_ms.saturating_sub(now_ms),
            ..it.record.clone()
        });
        Some(PlatformLists {
            revisions: self.revisions(),
            upstreams: records.collect(),
            evacuated: self.evacuated().iter().cloned().collect(),
            entries: self.known_entries()?.to_vec(),
        })
    }

    /// Adopts those lists of another entry that are newer than this entry's; returns the data centres
    /// that changed, each with whether it is evacuated now.
    pub fn adopt_newer(&mut self, lists: PlatformLists, now_ms: u64) -> Vec<(String, bool)> {
        let known = self.revisions();
        if !lists.revisions.has_newer_than(known) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        self.set_entries(lists.entries);
        if lists.revisions.evacuations > known.evacuations {
            changed = self.replace_evacuated(lists.evacuated, now_ms);
            self.set_evacuations_revision(lists.revisions.evacuations);
        }
        if lists.revisions.upstreams > known.upstreams {
            self.update(ListUpdate::FromPeer(lists.upstreams), now_ms);
            self.set_upstreams_revision(lists.revisions.upstreams);
        }
        changed
    }

    /// Sets the data centres that receive no work; returns those that changed, each with whether it is
    /// evacuated now.
    pub fn replace_evacuated(
        &mut self,
        data_centres: Vec<String>,
        now_ms: u64,
    ) -> Vec<(String, bool)> {
        let returned =
            self.evacuated().iter().filter(|it| !data_centres.contains(it)).cloned().collect();
        let mut changed = Vec::new();
        for (names, is_evacuated) in [(returned, false), (data_centres, true)] {
            for name in names {
                if self.set_evacuated(&name, is_evacuated, now_ms) {
                    changed.push((name, is_evacuated));
                }
            }
        }
        changed
    }
}
