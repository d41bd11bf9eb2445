//! Choice of an upstream for one call.
//!
//! A call goes to the upstream with the shortest expected time to a response. A call with a shared
//! prompt prefix goes to the upstream that every entry ranks first for the prefix, since it has read
//! the prefix before, unless that upstream is loaded clearly more than the others or is slow.

use crate::{
    rollout::CallKind,
    upstreams::{TokenDemand, Upstream, UpstreamKey, Upstreams, directory::rendezvous_weight},
};

/// Assumed latency before the first response, in milliseconds; low, so that new upstreams are tried.
const UNKNOWN_LATENCY_MS: f64 = 5.0;
/// Time in which an observed latency decays halfway to the assumed one, in milliseconds.
const LATENCY_HALF_LIFE_MS: f64 = 4_000.0;
/// Additional cost of another data centre, in milliseconds: about a round trip.
pub(super) const OTHER_DATA_CENTRE_MS: f64 = 4.0;
/// Cost of each recent failure, in milliseconds; above usual latencies.
pub(super) const FAILURE_MS: f64 = 200.0;
/// Half-life of a failure's weight in the choice, in milliseconds.
pub(super) const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Weighted recent failures from which an upstream is skipped in the choice by prefix.
const AFFINITY_FAILURE_LIMIT: f64 = 1.5;
/// Multiple of the mean load, on top of the base load, up to which a prefix keeps its upstream.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;
/// Load up to which a prefix always keeps its upstream, in requests in progress.
const AFFINITY_BASE_LOAD: f64 = 4.0;
/// Age beyond which a reported load is ignored, in milliseconds.
const LOAD_MAX_AGE_MS: u64 = 500;

/// Prompt prefix that a call shares with earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Identifier of the longest prefix of the prompt that other requests share.
    pub prefix: String,
}

/// Requirements and preferences of a call in the choice of its upstream.
#[derive(Clone, Debug, Default)]
pub struct SelectionCriteria<'a> {
    /// Service that the upstream has to belong to.
    pub service: &'a str,
    /// Model that has to be loaded.
    pub model: Option<&'a str>,
    /// Version of the software that a stream has to go on at.
    pub version: Option<&'a str>,
    /// Data centre to prefer.
    pub data_centre: Option<&'a str>,
    /// Shared prompt prefix, for a choice by prefix.
    pub affinity: Option<&'a Affinity>,
    /// Tokens that the call holds at its upstream; none if it does not state them.
    pub tokens: Option<TokenDemand>,
    /// Upstreams to leave out, because they were tried before.
    pub excluded: &'a [UpstreamKey],
}

impl SelectionCriteria<'_> {
    pub(super) fn call_kind(&self) -> CallKind {
        if self.version.is_some() { CallKind::Resumed } else { CallKind::New }
    }
}

impl Upstreams {
    /// Chooses an upstream; `None` if none may be called now.
    pub fn choose(&self, criteria: &SelectionCriteria<'_>, now_ms: u64) -> Option<UpstreamKey> {
        let keys = self.by_service.get(criteria.service)?;
        let kind = criteria.call_kind();
        let fits = |key: &UpstreamKey| {
            !criteria.excluded.contains(key)
                && self.is_usable_for(*key, kind, now_ms)
                && self.has_memory(*key, criteria.tokens, now_ms)
                && self.all.get(*key).is_some_and(|it| it.fits(criteria))
        };
        let candidates: Vec<UpstreamKey> = keys.iter().copied().filter(fits).collect();
        let candidates = self.of_one_version(candidates, criteria, now_ms);
        if self.is_balanced(criteria.service) {
            return self.choose_balanced(candidates, criteria, now_ms);
        }
        let candidates = self.without_slow(candidates, now_ms);
        if let Some(affinity) = criteria.affinity
            && let Some(key) = match self.has_memory_limit(criteria.service) {
                true => self.choose_by_prefix_and_memory(&candidates, affinity, now_ms),
                false => self.choose_by_prefix(&candidates, affinity, now_ms),
            }
        {
            return Some(key);
        }
        let cost = |key: &UpstreamKey| {
            self.all.get(*key).map_or(f64::MAX, |it| it.cost_ms(criteria.data_centre, now_ms))
        };
        candidates.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn choose_by_prefix(
        &self,
        candidates: &[UpstreamKey],
        affinity: &Affinity,
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let load = |key: &UpstreamKey| self.all.get(*key).map_or(0.0, |it| it.load_at(now_ms));
        let total: f64 = candidates.iter().map(load).sum();
        let mean = total / candidates.len().max(1) as f64;
        let limit = AFFINITY_BASE_LOAD + mean * AFFINITY_LOAD_FACTOR;
        let mut best: Option<(u64, UpstreamKey)> = None;
        for key in candidates {
            let Some(upstream) = self.all.get(*key) else { continue };
            if load(key) > limit {
                continue;
            }
            if upstream.fails_often(now_ms) {
                continue;
            }
            let weight = upstream.prefix_weight(affinity);
            if best.is_none_or(|(best_weight, _)| weight > best_weight) {
                best = Some((weight, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

impl Upstream {
    /// Tells whether so many calls have failed lately that prefixes move elsewhere.
    pub(crate) fn fails_often(&self, now_ms: u64) -> bool {
        self.failures_at(FAILURE_HALF_LIFE_MS, now_ms) >= AFFINITY_FAILURE_LIMIT
    }

    /// Returns the weight by which all entries rank the upstream for a prefix.
    pub(crate) fn prefix_weight(&self, affinity: &Affinity) -> u64 {
        rendezvous_weight(&self.record.id, &affinity.prefix)
    }

    pub(crate) fn fits(&self, criteria: &SelectionCriteria<'_>) -> bool {
        if criteria.version.is_some_and(|it| it != self.record.version.as_ref()) {
            return false;
        }
        let Some(model) = criteria.model else { return true };
        self.record.models.is_empty() || self.record.models.iter().any(|it| it == model)
    }

    /// Returns the number of requests in progress and waiting: this entry's own, or those of a recent
    /// report if that is more.
    fn load_at(&self, now_ms: u64) -> f64 {
        let reported = match self.load {
            Some((load, at_ms)) if now_ms.saturating_sub(at_ms) <= LOAD_MAX_AGE_MS => {
                load.running + load.waiting
            }
            _ => 0,
        };
        f64::from(self.in_flight.max(reported))
    }

    /// Returns the expected time to a response plus penalties for distance and failures, in
    /// milliseconds.
    fn cost_ms(&self, data_centre: Option<&str>, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.latency_at_ms) as f64;
        let freshness = 0.5_f64.powf(age_ms / LATENCY_HALF_LIFE_MS);
        let known_ms = self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS);
        let latency_ms = UNKNOWN_LATENCY_MS + freshness * (known_ms - UNKNOWN_LATENCY_MS).max(0.0);
        let queue = (self.load_at(now_ms) + 1.0) / f64::from(self.record.slots.max(1));
        let is_remote = data_centre.is_some_and(|it| it != self.record.data_centre.as_ref());
        let distance_ms = if is_remote { OTHER_DATA_CENTRE_MS } else { 0.0 };
        let failures = self.failures_at(FAILURE_HALF_LIFE_MS, now_ms);
        latency_ms * (1.0 + queue) + distance_ms + failures * FAILURE_MS
    }
}
