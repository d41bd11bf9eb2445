//! Exchange of the platform's lists among entries.
//!
//! An entry that cannot follow the platform adopts newer lists from one that does. Revisions come
//! from the platform and rise with every change and every restore, so an older list never replaces a
//! newer one.

use serde::{Deserialize, Serialize};

use crate::{
    revision::Revision,
    rollout::RolloutObject,
    upstreams::{
        Evacuation, HeldEvacuation, LeavingUpstream, ListUpdate, ReportedLimit, RestoreSabotage,
        SlowUpstream, UpstreamRecord, Upstreams,
    },
};

/// Revisions of the platform's lists that are in use; each rises with every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRevisions {
    /// Revision of the list of upstreams.
    pub upstreams: Revision,
    /// Revision of the list of data centres that receive no work.
    pub evacuations: Revision,
    /// Revision of the list of roll-outs.
    #[serde(default)]
    pub rollouts: Revision,
}

impl ListRevisions {
    /// Tells whether one of the lists is newer than the same list of `other`.
    pub fn has_newer_than(self, other: Self) -> bool {
        self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
            || self.rollouts > other.rollouts
    }
}

/// The platform's lists as held by one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformLists {
    /// Revisions of the lists.
    pub revisions: ListRevisions,
    /// Records of the upstreams, each with the remaining time for which it is treated as cold.
    pub upstreams: Vec<UpstreamRecord>,
    /// Data centres that receive no work.
    pub evacuated: Vec<Evacuation>,
    /// Objects of roll-outs, each with its name.
    #[serde(default)]
    pub rollouts: Vec<(String, Option<RolloutObject>)>,
    /// Names of the entries that share the limits of the upstreams.
    pub entries: Vec<String>,
    /// What the entry knows beyond the platform's lists.
    pub corrections: ListCorrections,
}

/// What an entry knows beyond the platform's lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListCorrections {
    /// Upstreams that leave although the platform may list them as ready.
    pub leaving: Vec<LeavingUpstream>,
    /// Evacuations that a restored platform has lost.
    pub held_evacuations: Vec<HeldEvacuation>,
    /// Upstreams that are passed over because their streams begin late.
    pub slow: Vec<SlowUpstream>,
    /// Limits that upstreams have stated or lifted.
    #[serde(default)]
    pub limits: Vec<ReportedLimit>,
    /// Whether the entry holds much of its share of an upstream's memory.
    #[serde(default)]
    pub is_memory_scarce: bool,
}

impl Upstreams {
    /// Returns the lists to send to other entries; none before this entry has received the platform's
    /// lists of upstreams and entries.
    pub fn platform_lists(&self, now_ms: u64) -> Option<PlatformLists> {
        if !self.has_platform_list() {
            return None;
        }
        let records = self.all.values().map(|it| it.record_at(now_ms));
        Some(PlatformLists {
            revisions: self.revisions(),
            upstreams: records.collect(),
            evacuated: self.evacuations.to_send(),
            rollouts: self.listed_rollouts(),
            entries: self.known_entries()?.to_vec(),
            corrections: self.corrections(now_ms),
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
            changed = self.replace_evacuated(&lists.evacuated, lists.revisions.evacuations, now_ms);
        }
        // Before the upstreams, so that an order is known when the upstreams of its version appear.
        if lists.revisions.rollouts > known.rollouts {
            self.rollouts.replace(&lists.rollouts, lists.revisions.rollouts, now_ms);
        }
        if lists.revisions.upstreams > known.upstreams {
            let revision = lists.revisions.upstreams;
            self.update(ListUpdate::FromPeer(lists.upstreams), revision, now_ms);
        }
        changed.extend(self.merge_corrections(&lists.corrections, now_ms));
        changed
    }

    /// Applies a change of one data centre that the platform made at a revision; `evacuated_at` is the
    /// number of the revision that evacuated it, none if it is in service. Returns whether it changed.
    pub fn set_evacuated(
        &mut self,
        data_centre: &str,
        evacuated_at: Option<u64>,
        revision: Revision,
        now_ms: u64,
    ) -> bool {
        if self.is_from_earlier_era(revision) {
            return false;
        }
        self.revisions.evacuations = revision;
        let has_changed = self.evacuations.set(data_centre, evacuated_at);
        if has_changed {
            self.mark_returned_cold(&[(data_centre.to_owned(), evacuated_at.is_some())], now_ms);
        }
        has_changed
    }

    /// Sets the data centres that receive no work, as listed at a revision of the platform; returns
    /// those that changed, each with whether it is evacuated now.
    pub fn replace_evacuated(
        &mut self,
        listed: &[Evacuation],
        revision: Revision,
        now_ms: u64,
    ) -> Vec<(String, bool)> {
        let known = self.revisions.evacuations;
        if self.is_from_earlier_era(revision) {
            return Vec::new();
        }
        self.revisions.evacuations = revision;
        let is_restored = self.has_evacuations
            && known.era < revision.era
            && !self.mechanisms.is_disabled(RestoreSabotage::HeldEvacuations);
        self.has_evacuations = true;
        let changed = self.evacuations.replace(listed, is_restored, now_ms);
        self.mark_returned_cold(&changed, now_ms);
        changed
    }

    /// Records that the platform has made no further change up to a revision; returns the data centres
    /// that changed because differences after a restore are confirmed by that, each with whether it is
    /// evacuated now.
    pub fn confirm_evacuations(&mut self, revision: Revision, now_ms: u64) -> Vec<(String, bool)> {
        if self.is_from_earlier_era(revision) {
            return Vec::new();
        }
        self.revisions.evacuations = revision;
        let changed = self.evacuations.confirm(now_ms);
        self.mark_returned_cold(&changed, now_ms);
        changed
    }

    fn is_from_earlier_era(&self, revision: Revision) -> bool {
        revision.era < self.revisions.evacuations.era
            && !self.mechanisms.is_disabled(RestoreSabotage::EraOrder)
    }

    /// Returns the data centres that receive no work.
    pub fn evacuated(&self) -> Vec<Evacuation> {
        self.evacuations.all().collect()
    }

    /// Returns the upstreams that the platform lists, for entries that follow this one.
    pub fn listed_records(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let listed = self.all.values().filter(|it| it.remove_at_ms.is_none());
        listed.map(|it| it.record_at(now_ms)).collect()
    }

    /// Returns the evacuations that the platform lists, for entries that follow this one.
    pub fn listed_evacuations(&self) -> Vec<Evacuation> {
        self.evacuations.to_send()
    }

    /// Returns the objects of roll-outs that the platform lists, for entries that follow this one.
    pub fn listed_rollouts(&self) -> Vec<(String, Option<RolloutObject>)> {
        let objects = self.rollouts.objects();
        objects.map(|(name, it)| (name.to_owned(), Some(it.clone()))).collect()
    }

    /// Returns what other entries may not know: upstreams that leave, and evacuations that a restored
    /// platform has lost.
    pub fn corrections(&self, now_ms: u64) -> ListCorrections {
        ListCorrections {
            leaving: self.departures.recent(now_ms),
            held_evacuations: self.evacuations.held(now_ms),
            slow: self.slow_upstreams(now_ms),
            limits: self.limits_to_report(now_ms),
            is_memory_scarce: self.is_memory_scarce(),
        }
    }

    /// Merges what another entry knows; returns the data centres that changed, each with whether it is
    /// evacuated now.
    pub fn merge_corrections(
        &mut self,
        corrections: &ListCorrections,
        now_ms: u64,
    ) -> Vec<(String, bool)> {
        let mut has_left = false;
        for leaving in &corrections.leaving {
            if !self.departures.merge(leaving, now_ms) {
                continue;
            }
            let upstream = self.all.values_mut().find(|it| it.record.id == leaving.id);
            if let Some(upstream) = upstream
                && upstream.record.started_unix_ms == leaving.started_unix_ms
                && upstream.record.sequence <= leaving.outdated_sequence
            {
                upstream.is_leaving = true;
                has_left = true;
            }
        }
        if has_left {
            self.observe_versions(now_ms);
        }
        self.merge_slow(&corrections.slow, now_ms);
        self.merge_limits(&corrections.limits, now_ms);
        self.merge_memory_scarcity(corrections.is_memory_scarce, now_ms);
        self.evacuations.adopt_held(&corrections.held_evacuations, now_ms)
    }
}
