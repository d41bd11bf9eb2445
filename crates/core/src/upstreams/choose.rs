//! Choice of an upstream for one call.
//!
//! Plain calls go where an answer is expected first. Calls with a shared prompt prefix go to the
//! upstream that every entry ranks first for the prefix, since it has read the prefix before, unless
//! that upstream carries clearly more than the others.

use crate::upstreams::{Upstream, UpstreamKey, Upstreams, directory::rendezvous_weight};

/// Expected latency before any answer, in milliseconds; low, so that new upstreams are tried.
const UNKNOWN_LATENCY_MS: f64 = 5.0;
/// Time in which an old latency loses half of its distance from the unknown, in milliseconds.
const LATENCY_HALF_LIFE_MS: f64 = 4_000.0;
/// Extra cost of another data centre, in milliseconds: about a round trip.
const OTHER_DATA_CENTRE_MS: f64 = 4.0;
/// Cost of each recent failure, in milliseconds: more than any usual latency.
const FAILURE_MS: f64 = 200.0;
/// Half-life of failures in the choice, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Recent failures from which an upstream loses its place for a prefix.
const AFFINITY_FAILURES: f64 = 1.5;
/// Part above the mean load up to which a prefix keeps its upstream.
const AFFINITY_OVERLOAD: f64 = 1.5;
/// Requests in progress that are always allowed for a prefix's upstream.
const AFFINITY_FLOOR: f64 = 4.0;
/// Age from which a reported load says nothing, in milliseconds.
const LOAD_MAX_AGE_MS: u64 = 500;

/// Prompt prefix that a call shares with earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Identifier of the longest part that other requests share.
    pub prefix: String,
}

/// What a call needs of its upstream.
#[derive(Clone, Debug, Default)]
pub struct SelectionCriteria<'a> {
    /// Service of the upstream.
    pub service: &'a str,
    /// Model that has to be loaded.
    pub model: Option<&'a str>,
    /// Data centre to prefer.
    pub data_centre: Option<&'a str>,
    /// Shared prefix.
    pub affinity: Option<&'a Affinity>,
    /// Upstreams that were tried before.
    pub excluded: &'a [UpstreamKey],
}

impl Upstreams {
    /// Chooses an upstream, or `None` when none may be called now.
    pub fn choose(&self, criteria: &SelectionCriteria<'_>, now_ms: u64) -> Option<UpstreamKey> {
        let keys = self.by_service.get(criteria.service)?;
        let fits = |key: &UpstreamKey| {
            !criteria.excluded.contains(key)
                && self.is_usable(*key, now_ms)
                && self.all.get(*key).is_some_and(|it| it.fits(criteria))
        };
        let candidates: Vec<UpstreamKey> = keys.iter().copied().filter(fits).collect();
        if let Some(affinity) = criteria.affinity
            && let Some(key) = self.choose_by_prefix(&candidates, affinity, now_ms)
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
        let limit = AFFINITY_FLOOR + mean * AFFINITY_OVERLOAD;
        let mut best: Option<(u64, UpstreamKey)> = None;
        for key in candidates {
            let Some(upstream) = self.all.get(*key) else { continue };
            if load(key) > limit {
                continue;
            }
            if upstream.failures_at(FAILURE_HALF_LIFE_MS, now_ms) >= AFFINITY_FAILURES {
                continue;
            }
            let weight = rendezvous_weight(&upstream.record.id, &affinity.prefix);
            if best.is_none_or(|(heaviest, _)| weight > heaviest) {
                best = Some((weight, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

impl Upstream {
    fn fits(&self, criteria: &SelectionCriteria<'_>) -> bool {
        let Some(model) = criteria.model else { return true };
        self.record.models.is_empty() || self.record.models.iter().any(|it| it == model)
    }

    /// Returns the requests in progress, as far as this entry knows.
    fn load_at(&self, now_ms: u64) -> f64 {
        let reported = match self.load {
            Some((load, at_ms)) if now_ms.saturating_sub(at_ms) <= LOAD_MAX_AGE_MS => {
                load.running + load.waiting
            }
            _ => 0,
        };
        f64::from(self.in_flight.max(reported))
    }

    /// Returns the expected time to an answer, in milliseconds.
    fn cost_ms(&self, data_centre: Option<&str>, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.latency_at_ms) as f64;
        let fresh = 0.5_f64.powf(age_ms / LATENCY_HALF_LIFE_MS);
        let known_ms = self.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS);
        let latency_ms = UNKNOWN_LATENCY_MS + fresh * (known_ms - UNKNOWN_LATENCY_MS).max(0.0);
        let queue = (self.load_at(now_ms) + 1.0) / f64::from(self.record.slots.max(1));
        let is_other = data_centre.is_some_and(|it| it != self.record.data_centre.as_ref());
        let distance_ms = if is_other { OTHER_DATA_CENTRE_MS } else { 0.0 };
        let failures = self.failures_at(FAILURE_HALF_LIFE_MS, now_ms);
        latency_ms * (1.0 + queue) + distance_ms + failures * FAILURE_MS
    }
}
