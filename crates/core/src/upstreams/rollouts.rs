//! Roll-outs in the use of upstreams: which versions receive calls, and what their answers tell.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    FastMap,
    rollout::{AnswerSample, CallKind, ExposureLimit, ListedVersion, Rollouts},
    upstreams::{CallEnd, SelectionCriteria, Upstream, UpstreamKey, Upstreams},
};

impl Upstreams {
    /// Enables roll-outs if there is a limit. Has to be called before the first list arrives;
    /// `incarnation` differs between the runs of an entry.
    pub fn set_exposure_limit(&mut self, limit: Option<ExposureLimit>, incarnation: u64) {
        self.rollouts = Rollouts::new(limit, incarnation);
        let name = self.own_name().to_owned();
        self.rollouts.set_name(&name);
        if let Some(entries) = self.known_entries().map(<[String]>::to_vec) {
            self.rollouts.set_entries(&entries);
        }
    }

    /// Returns the roll-outs.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the roll-outs, to apply objects and directives.
    pub fn rollouts_mut(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Records a complete answer of an upstream, which counts if the upstream was warm.
    pub fn record_answer(&mut self, key: UpstreamKey, sample: &AnswerSample, _now_ms: u64) {
        let Some(upstream) = self.all.get(key) else { return };
        if self.rollouts.exposure_limit().is_some() && !upstream.is_cold(sample.started_ms) {
            let record = &upstream.record;
            self.rollouts.record_answer(&record.service, &record.version, &record.id, sample);
        }
    }

    /// Records that the upstream at an address holds `count` more stage results for this entry.
    pub fn hold_results(&mut self, address: SocketAddr, count: u32) {
        if self.rollouts.exposure_limit().is_none() {
            return;
        }
        let Some(upstream) = self.at_address(address).and_then(|it| self.all.get(it)) else {
            return;
        };
        let record = &upstream.record;
        self.rollouts.usage.hold_results(address, &record.service, &record.version, count);
    }

    /// Records that `count` stage results at an address are not needed any more.
    pub fn release_results(&mut self, address: SocketAddr, count: u32) {
        self.rollouts.usage.release_results(address, count);
    }

    /// Tells whether this entry needs upstreams of the old version of a service: for calls in progress
    /// or for stage results that they hold.
    pub fn needs_old(&self, service: &str) -> bool {
        self.rollouts.needs_old(service)
    }

    /// Tells whether the roll-out of an upstream's service lets a call through.
    pub(super) fn is_admitted(&self, upstream: &Upstream, kind: CallKind, now_ms: u64) -> bool {
        if self.rollouts.exposure_limit().is_none() {
            return true;
        }
        let record = &upstream.record;
        let (service, version) = (&record.service, &record.version);
        // The answers of cold upstreams are not evidence, so the exposure budget is not spent on them.
        let is_wasted = kind == CallKind::New
            && upstream.is_cold(now_ms)
            && self.rollouts.is_limited(service, version, now_ms);
        !is_wasted && self.rollouts.admits_call(service, version, &record.id, kind, now_ms)
    }

    pub(super) fn begin_at_version(&mut self, key: UpstreamKey, now_ms: u64) {
        if self.rollouts.exposure_limit().is_none() {
            return;
        }
        let Some(upstream) = self.all.get(key) else { return };
        let (service, version) = (&upstream.record.service, &upstream.record.version);
        self.rollouts.record_start(service, version, now_ms);
        self.rollouts.usage.begin_call(key, service, version);
    }

    pub(super) fn end_at_version(&mut self, key: UpstreamKey, end: CallEnd) {
        let Some((service, version)) = self.rollouts.usage.end_call(key) else { return };
        let is_not_run = matches!(
            end,
            CallEnd::Shed | CallEnd::Rests | CallEnd::Replaced | CallEnd::Unreachable
        );
        if is_not_run {
            self.rollouts.record_not_run(&service, &version);
        }
    }

    /// Keeps the candidates of the version that a request goes to while a roll-out divides requests
    /// between two versions; all of them if none is of that version.
    pub(super) fn of_one_version(
        &self,
        candidates: Vec<UpstreamKey>,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        if criteria.version.is_some() {
            return candidates;
        }
        let prefix = criteria.affinity.map(|it| it.prefix.as_str());
        let preferred = self.rollouts.preferred_version(criteria.service, prefix, now_ms);
        let Some((to, goes_to_new)) = preferred else { return candidates };
        let is_new =
            |key: &UpstreamKey| self.all.get(*key).is_some_and(|it| it.record.version == *to);
        // A request that a new upstream has not answered is not exposed to the new version again.
        let wants_new = goes_to_new && !criteria.excluded.iter().any(is_new);
        let (wanted, others): (Vec<UpstreamKey>, Vec<UpstreamKey>) =
            candidates.into_iter().partition(|it| is_new(it) == wants_new);
        if wanted.is_empty() { others } else { wanted }
    }

    /// Tells the roll-outs which versions are listed.
    pub(super) fn observe_versions(&mut self, now_ms: u64) {
        if self.rollouts.exposure_limit().is_none() || !self.has_list() {
            return;
        }
        for (service, keys) in &self.by_service {
            let mut versions: FastMap<Arc<str>, ListedVersion> = FastMap::default();
            let serving = keys.iter().filter_map(|it| self.all.get(*it)).filter(|it| !it.leaves());
            for Upstream { record, .. } in serving {
                let new = || ListedVersion {
                    version: record.version.clone(),
                    upstreams: Vec::new(),
                    started_unix_ms: record.started_unix_ms,
                };
                let listed = versions.entry(record.version.clone()).or_insert_with(new);
                listed.upstreams.push((record.id.clone(), record.slots));
                listed.started_unix_ms = listed.started_unix_ms.min(record.started_unix_ms);
            }
            self.rollouts.observe_versions(service, versions.into_values().collect(), now_ms);
        }
    }
}
