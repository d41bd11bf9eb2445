//! Set of upstreams, kept up to date from the platform's list and from the results of calls.

use std::{net::SocketAddr, sync::Arc};

use slotmap::SlotMap;

use crate::{
    FastMap, FastSet,
    ids::Digest,
    revision::Revision,
    rollout::Rollouts,
    switch::MechanismSwitch,
    upstreams::{
        Balance, Demands, Departures, Evacuations, FormerRuns, ListRevisions, ModelMemory, Pace,
        Upstream, UpstreamKey, UpstreamRecord, VersionHistory,
    },
};

/// Settings of [`Upstreams`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamsSettings {
    /// Time after a platform outage for which upstreams that are missing from the list are kept, in
    /// milliseconds. The platform lists them again within about two seconds.
    pub removal_grace_ms: u64,
    /// Backoff after a failed connection, in milliseconds; doubles with each consecutive failure.
    pub initial_backoff_ms: u64,
    /// Longest backoff after failed connections, in milliseconds.
    pub max_backoff_ms: u64,
    /// Half-life of a failure's weight, in milliseconds.
    pub failure_half_life_ms: f64,
    /// Weight of a new latency in the moving average.
    pub latency_weight: f64,
}

impl Default for UpstreamsSettings {
    fn default() -> Self {
        Self {
            removal_grace_ms: 2_000,
            initial_backoff_ms: 200,
            max_backoff_ms: 2_000,
            failure_half_life_ms: 3_000.0,
            latency_weight: 0.3,
        }
    }
}

/// Update of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All upstreams that the platform lists.
    Snapshot(Vec<UpstreamRecord>),
    /// All upstreams in the list of another entry, received from it.
    FromPeer(Vec<UpstreamRecord>),
    /// Some of the upstreams that the platform lists; the others are unknown.
    Part(Vec<UpstreamRecord>),
    /// An upstream was added to the list, or its record changed.
    Listed(UpstreamRecord),
    /// An upstream was removed from the list.
    Unlisted {
        /// Identifier of the upstream.
        id: String,
    },
}

/// Upstreams of all services.
#[derive(Debug, Default)]
pub struct Upstreams {
    pub(super) settings: UpstreamsSettings,
    pub(crate) all: SlotMap<UpstreamKey, Upstream>,
    by_id: FastMap<String, UpstreamKey>,
    pub(crate) by_service: FastMap<Arc<str>, Vec<UpstreamKey>>,
    pub(crate) evacuations: Evacuations,
    pub(crate) departures: Departures,
    former_runs: FormerRuns,
    pub(crate) pace: Pace,
    pub(crate) memory: ModelMemory,
    pub(super) balance: Balance,
    pub(super) versions: VersionHistory,
    /// For each service, the time for which an upstream is cold after its start, in milliseconds, and
    /// the requests a second that a cold upstream tolerates; 0 if it needs no limit.
    pub(super) cold_starts: FastMap<Arc<str>, (u64, f64)>,
    /// Services whose work passes the queue of one entry, each with whether that is this one.
    pub(super) owned_services: FastMap<Arc<str>, bool>,
    pub(super) entries: Vec<String>,
    own_name: String,
    /// Whether the other entries are known; until then, cold upstreams with a limit receive no calls.
    has_entries: bool,
    removal_grace_until_ms: u64,
    /// Whether a list has been received, from the platform or from another entry.
    has_list: bool,
    /// Whether a complete list has been received, so that an upstream which appears later is new.
    has_complete_list: bool,
    /// Whether a list has been received from the platform itself.
    has_platform_list: bool,
    pub(crate) revisions: ListRevisions,
    /// Whether a list of evacuated data centres has been received.
    pub(crate) has_evacuations: bool,
    pub(crate) mechanisms: MechanismSwitch<RestoreSabotage>,
    pub(super) rollouts: Rollouts,
}

/// Where a record was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordSource {
    /// In a list of the platform.
    PlatformList,
    /// In the list of another entry.
    PeerList,
    /// In a change that the platform reported.
    PlatformChange,
}

/// Mechanism that a test disables to show that its oracle detects the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreSabotage {
    /// Updates from before a restore of the platform are applied.
    EraOrder,
    /// Upstreams that have left are used again when a restored platform lists them.
    Departures,
    /// An upstream that announces in a response that it leaves is used further.
    Announcements,
    /// Evacuations follow a restored list at once.
    HeldEvacuations,
}

impl Upstreams {
    /// Creates an empty set for the entry named `own_name`.
    pub fn new(settings: UpstreamsSettings, own_name: &str) -> Self {
        Self {
            settings,
            own_name: own_name.to_owned(),
            balance: Balance::new(own_name),
            entries: vec![own_name.to_owned()],
            ..Self::default()
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: RestoreSabotage) {
        self.mechanisms.disable(sabotage);
    }

    /// Tells whether a list has been received, from the platform or from another entry.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Tells whether a list has been received from the platform itself.
    pub fn has_platform_list(&self) -> bool {
        self.has_platform_list
    }

    /// Tells whether the other entries are known.
    pub fn has_entries(&self) -> bool {
        self.has_entries
    }

    /// Returns the names of all entries, which share the limits; none before they are known.
    pub(crate) fn known_entries(&self) -> Option<&[String]> {
        self.has_entries.then_some(self.entries.as_slice())
    }

    /// Returns the name of this entry.
    pub(crate) fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Returns the revisions of the lists in use.
    pub fn revisions(&self) -> ListRevisions {
        ListRevisions { rollouts: self.rollouts.revision(), ..self.revisions }
    }

    /// Returns an upstream, unless it has been removed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.all.get(key)
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|it| Some((*it, self.all.get(*it)?)))
    }

    /// Returns the upstream with the given identifier.
    pub(crate) fn key_of(&self, id: &str) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the upstream with the given address.
    pub fn at_address(&self, address: SocketAddr) -> Option<UpstreamKey> {
        self.all.iter().find(|(_, it)| it.record.address == address).map(|(key, _)| key)
    }

    /// Returns the data centre of the upstream with the given address.
    pub fn data_centre_at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        Some(&self.get(self.at_address(address)?)?.record.data_centre)
    }

    /// Returns the service of the upstream with the given address.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Arc<str>> {
        Some(&self.get(self.at_address(address)?)?.record.service)
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Tells whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Sets, for each service, the time for which an upstream is cold after its start, in milliseconds,
    /// and the requests a second that a cold upstream tolerates.
    pub fn set_cold_starts(&mut self, cold_starts: FastMap<Arc<str>, (u64, f64)>) {
        self.cold_starts = cold_starts;
    }

    /// Sets the names of the entries that share the limits; this entry's own name is added.
    pub fn set_entries(&mut self, mut entries: Vec<String>) {
        self.has_entries = true;
        entries.push(self.own_name.clone());
        entries.sort_unstable();
        entries.dedup();
        self.memory.is_outdated |= self.entries != entries;
        self.entries = entries;
        self.rollouts.set_entries(&self.entries);
        for upstream in self.all.values_mut() {
            upstream.entry_rank = rank_among(&self.entries, &self.own_name, &upstream.record.id);
        }
    }

    /// Returns the number of entries that share the limits.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Applies an update that brings the list of upstreams to a revision of the platform.
    ///
    /// An update from before a restore of the platform that is already known changes nothing.
    pub fn update(&mut self, update: ListUpdate, revision: Revision, now_ms: u64) {
        let known = self.revisions.upstreams;
        if revision.era < known.era && !self.mechanisms.is_disabled(RestoreSabotage::EraOrder) {
            return;
        }
        self.revisions.upstreams = revision;
        if self.has_list && known.era < revision.era {
            // The copy from which the platform was restored may lack upstreams, which are listed again
            // as after an outage.
            self.begin_removal_grace(now_ms);
        }
        match update {
            ListUpdate::Snapshot(records) => {
                self.has_platform_list = true;
                self.replace_all(records, RecordSource::PlatformList, now_ms);
            }
            ListUpdate::FromPeer(records) => {
                self.replace_all(records, RecordSource::PeerList, now_ms);
            }
            ListUpdate::Part(records) => {
                self.has_list = true;
                for record in records {
                    self.upsert(record, RecordSource::PlatformList, self.has_complete_list, now_ms);
                }
            }
            ListUpdate::Listed(record) => {
                self.upsert(record, RecordSource::PlatformChange, self.has_complete_list, now_ms);
            }
            ListUpdate::Unlisted { id } => self.unlist(&id, now_ms),
        }
        self.observe_versions(now_ms);
    }

    /// Records that the platform has made no further change up to a revision.
    pub fn confirm(&mut self, revision: Revision) {
        self.revisions.upstreams = self.revisions.upstreams.max(revision);
    }

    /// Keeps upstreams that are missing from the list for the grace period, since the platform lists
    /// them again after an outage.
    pub fn begin_removal_grace(&mut self, now_ms: u64) {
        self.removal_grace_until_ms = now_ms + self.settings.removal_grace_ms;
    }

    /// Removes upstreams that are still missing from the list after the grace period; returns the data
    /// centres whose evacuation changed, each with whether it is evacuated now.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(String, bool)> {
        self.departures.expire(now_ms);
        self.versions.expire(now_ms);
        let changed = self.evacuations.expire(now_ms);
        let is_due = |it: &Upstream| it.remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let due: Vec<UpstreamKey> =
            self.all.iter().filter(|(_, it)| is_due(it)).map(|(key, _)| key).collect();
        let has_removed = !due.is_empty();
        for key in due {
            self.remove(key, now_ms);
        }
        if has_removed {
            self.observe_versions(now_ms);
        }
        self.rollouts.expire(now_ms);
        self.update_memory_shares(now_ms);
        changed
    }

    /// Treats the upstreams of data centres that are no longer evacuated as cold, since they may have
    /// restarted before their records say so.
    pub(crate) fn mark_returned_cold(&mut self, changed: &[(String, bool)], now_ms: u64) {
        for (data_centre, _) in changed.iter().filter(|(_, is_evacuated)| !is_evacuated) {
            for upstream in self.all.values_mut() {
                if upstream.record.data_centre.as_ref() != data_centre {
                    continue;
                }
                let (cold_start_ms, _) = cold_start(&self.cold_starts, &upstream.record.service);
                upstream.cold_until_ms = upstream.cold_until_ms.max(now_ms + cold_start_ms);
            }
        }
    }

    fn replace_all(&mut self, records: Vec<UpstreamRecord>, source: RecordSource, now_ms: u64) {
        let listed: FastSet<String> = records.iter().map(|it| it.id.clone()).collect();
        let missing: Vec<String> =
            self.by_id.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        for id in missing {
            self.unlist(&id, now_ms);
        }
        let has_earlier_list = std::mem::replace(&mut self.has_complete_list, true);
        self.has_list = true;
        self.versions.begin(now_ms);
        for record in records {
            self.upsert(record, source, has_earlier_list, now_ms);
        }
    }

    /// Adds or updates an upstream; one that appears after the first list has just started, so it is
    /// treated as cold.
    fn upsert(
        &mut self,
        record: UpstreamRecord,
        source: RecordSource,
        has_earlier_list: bool,
        now_ms: u64,
    ) {
        let era = self.revisions.upstreams.era;
        // Another entry also sends upstreams that it keeps although the platform does not list them.
        let listed_in = (source != RecordSource::PeerList).then_some(era);
        let known = self.by_id.get(&record.id).copied();
        if let Some(key) = known
            && let Some(upstream) = self.all.get_mut(key)
        {
            let is_same_incarnation = upstream.record.started_unix_ms == record.started_unix_ms
                && upstream.record.address == record.address
                && upstream.record.service == record.service;
            // A platform that was restored may list an earlier incarnation again.
            if source != RecordSource::PlatformChange
                && upstream.listed_era < era
                && record.started_unix_ms < upstream.record.started_unix_ms
            {
                self.unlist(&record.id, now_ms);
                return;
            }
            if self.former_runs.ignores(&record, upstream.record.started_unix_ms) {
                return;
            }
            if is_same_incarnation {
                upstream.remove_at_ms = None;
                // An upstream that drains does not come back, so a record of the same number is older.
                let is_older = record.sequence < upstream.record.sequence
                    || record.sequence == upstream.record.sequence && upstream.record.is_draining;
                if is_older {
                    return;
                }
                upstream.listed_era = era;
                let is_outdated = self.departures.is_outdated(&record, listed_in, now_ms);
                upstream.is_leaving =
                    is_outdated && !self.mechanisms.is_disabled(RestoreSabotage::Departures);
                if record.cold_remaining_ms > 0 {
                    upstream.cold_until_ms =
                        upstream.cold_until_ms.max(now_ms + record.cold_remaining_ms);
                }
                let former = std::mem::replace(&mut upstream.record, record);
                if former.version != upstream.record.version {
                    self.versions.record_left(&former.service, &former.version, now_ms);
                }
                return;
            }
            self.remove(key, now_ms);
        } else {
            let departed = self.departures.latest_start(&record.id);
            if self.former_runs.ignores(&record, departed) {
                return;
            }
        }
        let mut upstream = Upstream::new(record);
        upstream.listed_era = era;
        if let Some(demands) = self.departures.demands(&upstream.record) {
            upstream.rest = demands.rest;
            upstream.request_limit = demands.request_limit;
        }
        let is_outdated = self.departures.is_outdated(&upstream.record, listed_in, now_ms);
        upstream.is_leaving =
            is_outdated && !self.mechanisms.is_disabled(RestoreSabotage::Departures);
        let mut cold_ms = upstream.record.cold_remaining_ms;
        if has_earlier_list {
            cold_ms = cold_ms.max(cold_start(&self.cold_starts, &upstream.record.service).0);
        }
        upstream.cold_until_ms = now_ms + cold_ms;
        if self.has_entries {
            upstream.entry_rank = rank_among(&self.entries, &self.own_name, &upstream.record.id);
        }
        let (id, service) = (upstream.record.id.clone(), upstream.record.service.clone());
        let key = self.all.insert(upstream);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn unlist(&mut self, id: &str, now_ms: u64) {
        let Some(key) = self.by_id.get(id).copied() else { return };
        let Some(upstream) = self.all.get_mut(key) else { return };
        if now_ms < self.removal_grace_until_ms && !upstream.leaves() {
            upstream.remove_at_ms = Some(self.removal_grace_until_ms);
            return;
        }
        self.remove(key, now_ms);
    }

    fn remove(&mut self, key: UpstreamKey, now_ms: u64) {
        let Some(upstream) = self.all.remove(key) else { return };
        let demands = Demands { rest: upstream.rest, request_limit: upstream.request_limit };
        self.departures.unlist(&upstream.record, self.revisions.upstreams.era, demands, now_ms);
        let record = &upstream.record;
        self.versions.record_left(&record.service, &record.version, now_ms);
        self.by_id.remove(&upstream.record.id);
        if let Some(keys) = self.by_service.get_mut(&upstream.record.service) {
            keys.retain(|it| *it != key);
        }
    }
}

pub(super) fn cold_start(
    cold_starts: &FastMap<Arc<str>, (u64, f64)>,
    service: &Arc<str>,
) -> (u64, f64) {
    cold_starts.get(service).copied().unwrap_or((0, 0.0))
}

/// Returns the rank of `own` among `entries` in the rendezvous order for `subject`; 0 is the first.
pub(crate) fn rank_among(entries: &[String], own: &str, subject: &str) -> usize {
    let own_weight = rendezvous_weight(own, subject);
    entries.iter().filter(|it| rendezvous_weight(it, subject) > own_weight).count()
}

/// Returns the weight of a candidate for a subject in rendezvous hashing; the same in every process.
pub(crate) fn rendezvous_weight(candidate: &str, subject: &str) -> u64 {
    Digest::of(format!("{candidate}\0{subject}").as_bytes()).prefix()
}
