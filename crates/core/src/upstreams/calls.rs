//! Calls to upstreams: whether one may be made, and what its response and its end tell.

use crate::{
    rollout::CallKind,
    upstreams::{
        CallEnd, ColdLimit, Load, RestRequest, RestoreSabotage, SelectionCriteria, Upstream,
        UpstreamKey, Upstreams, directory::cold_start,
    },
};

/// Time after which a caller may return whose entry has no share of any upstream's limit, in
/// milliseconds; callers return to other entries.
const NO_SHARE_WAIT_MS: u64 = 500;

/// When the upstreams of a service take calls again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarliestReturn {
    /// Time until the first one does, in milliseconds.
    pub wait_ms: u64,
    /// Whether that one rests; otherwise it states a limit that is reached.
    pub is_resting: bool,
}

impl Upstreams {
    /// Tells whether a call may be sent to an upstream now.
    pub fn is_usable(&self, key: UpstreamKey, now_ms: u64) -> bool {
        self.is_usable_for(key, CallKind::New, now_ms)
    }

    pub(super) fn is_usable_for(&self, key: UpstreamKey, kind: CallKind, now_ms: u64) -> bool {
        let Some(upstream) = self.all.get(key) else { return false };
        let record = &upstream.record;
        if upstream.leaves() || upstream.is_down(now_ms) {
            return false;
        }
        if !self.is_admitted(upstream, kind, now_ms) {
            return false;
        }
        if upstream.in_flight >= upstream.rest.max_in_flight(record.slots, now_ms) {
            return false;
        }
        if self.evacuations.contains(record.data_centre.as_ref()) {
            return false;
        }
        if self.limit_wait_ms(upstream, now_ms) != Some(0) {
            return false;
        }
        if !upstream.is_cold(now_ms) {
            return true;
        }
        match self.cold_limit(upstream) {
            Some(limit) => upstream.cold_share.has_token(limit, now_ms),
            None => true,
        }
    }

    /// Counts a call that is about to be sent to an upstream.
    ///
    /// Returns whether it may be sent; the state may have changed since the upstream was chosen.
    pub fn begin(&mut self, key: UpstreamKey, now_ms: u64) -> bool {
        self.begin_for(key, CallKind::New, now_ms)
    }

    /// Counts a call that goes on with a stream at the version that began it, like
    /// [`begin`](Self::begin). In a roll-out, it may also go to an old upstream after the switch.
    pub fn begin_resumed(&mut self, key: UpstreamKey, now_ms: u64) -> bool {
        self.begin_for(key, CallKind::Resumed, now_ms)
    }

    /// Chooses an upstream and counts a call that is about to be sent to it, with the tokens that it holds
    /// there; `None` if none may be called now.
    ///
    /// Between a separate choice and beginning, another call could use up the allowance of a roll-out or
    /// the upstream's memory, and the request would be refused.
    pub fn begin_chosen(
        &mut self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let key = self.choose(criteria, now_ms)?;
        if !self.begin_for(key, criteria.call_kind(), now_ms) {
            return None;
        }
        self.hold_memory(key, criteria.tokens, now_ms);
        Some(key)
    }

    fn begin_for(&mut self, key: UpstreamKey, kind: CallKind, now_ms: u64) -> bool {
        if !self.is_usable_for(key, kind, now_ms) {
            return false;
        }
        self.record_balanced_begin(key, now_ms);
        let Some(upstream) = self.all.get(key) else { return false };
        let cold_limit = if upstream.is_cold(now_ms) { self.cold_limit(upstream) } else { None };
        let limit_share = self.limit_share(upstream);
        let Some(upstream) = self.all.get_mut(key) else { return false };
        if let Some(cold_limit) = cold_limit {
            upstream.cold_share.take_token(cold_limit, now_ms);
        }
        upstream.request_limit.take(limit_share, now_ms);
        upstream.in_flight += 1;
        self.begin_at_version(key, now_ms);
        true
    }

    /// Applies the end of a call that [`begin`](Self::begin) counted.
    pub fn end(&mut self, key: UpstreamKey, end: CallEnd, now_ms: u64) {
        self.record_balanced_end(key, end, now_ms);
        let settings = self.settings;
        self.end_at_version(key, end);
        let Some(upstream) = self.all.get_mut(key) else { return };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if matches!(end, CallEnd::Failed | CallEnd::Unreachable) {
            upstream.response_ends.record_failure();
        }
        match end {
            CallEnd::Answered { latency_ms } => {
                upstream.connect_failures = 0;
                upstream.record_latency(latency_ms, settings.latency_weight, now_ms);
            }
            CallEnd::Shed => upstream.record_failure(0.5, settings.failure_half_life_ms, now_ms),
            CallEnd::Failed => upstream.record_failure(1.0, settings.failure_half_life_ms, now_ms),
            CallEnd::Replaced => upstream.down_until_ms = now_ms + settings.max_backoff_ms,
            CallEnd::Unreachable => {
                let shift = upstream.connect_failures.min(8);
                let backoff_ms =
                    (settings.initial_backoff_ms << shift).min(settings.max_backoff_ms);
                upstream.connect_failures += 1;
                upstream.down_until_ms = now_ms + backoff_ms;
                upstream.record_failure(1.0, settings.failure_half_life_ms, now_ms);
                // It may have restarted and be cold before its record says so.
                let (cold_start_ms, per_s) =
                    cold_start(&self.cold_starts, &upstream.record.service);
                if per_s > 0.0 {
                    upstream.cold_until_ms = upstream.down_until_ms + cold_start_ms;
                }
            }
            // The rest itself keeps calls away.
            CallEnd::Rests | CallEnd::Cancelled => {}
        }
    }

    /// Records the load that a response reports; returns whether it is the first report of this
    /// upstream with an invalid slowdown.
    pub fn observe_load(&mut self, key: UpstreamKey, mut load: Load, now_ms: u64) -> bool {
        let Some(upstream) = self.all.get_mut(key) else { return false };
        let is_valid = load.bound_slowdown();
        upstream.load = Some((load, now_ms));
        let requests = load.running.saturating_add(load.waiting);
        upstream.memory.observe_requests(requests, upstream.in_flight, now_ms);
        let is_first_invalid = !is_valid && !upstream.has_invalid_slowdown;
        upstream.has_invalid_slowdown |= !is_valid;
        self.record_balanced_report(key, now_ms);
        is_first_invalid
    }

    /// Records the time for which an upstream states that it stays cold.
    pub fn observe_cold(&mut self, key: UpstreamKey, remaining_ms: u64, now_ms: u64) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.cold_until_ms = upstream.cold_until_ms.max(now_ms + remaining_ms);
        }
    }

    /// Records that an upstream stated in a response that it leaves; returns whether that was unknown.
    pub fn observe_leaving(&mut self, key: UpstreamKey, now_ms: u64) -> bool {
        let Some(upstream) = self.all.get_mut(key) else { return false };
        if self.mechanisms.is_disabled(RestoreSabotage::Announcements) {
            return false;
        }
        upstream.is_leaving = true;
        let was_unknown = self.departures.announce(&upstream.record, now_ms);
        if was_unknown {
            self.observe_versions(now_ms);
        }
        was_unknown
    }

    /// Records that an upstream wants no calls for a time in seconds, which may be any number.
    pub fn observe_rest(
        &mut self,
        key: UpstreamKey,
        seconds: f64,
        now_ms: u64,
    ) -> Option<RestRequest> {
        Some(self.all.get_mut(key)?.rest.extend(seconds, now_ms))
    }

    /// Returns the upstreams of a service that may be asked what they keep, which is no work for them.
    pub fn to_query(&self, service: &str, now_ms: u64) -> Vec<UpstreamKey> {
        let may_be_asked = |it: &Upstream| {
            let is_out = self.evacuations.contains(it.record.data_centre.as_ref());
            !it.leaves() && !it.is_resting(now_ms) && !is_out
        };
        self.of_service(service).filter(|(_, it)| may_be_asked(it)).map(|(key, _)| key).collect()
    }

    /// Tells whether an upstream has asked for a rest, or states a limit under which this entry may not
    /// send the next request yet.
    pub fn wants_no_calls(&self, key: UpstreamKey, now_ms: u64) -> bool {
        self.all.get(key).is_some_and(|it| self.demanded_wait_ms(it, now_ms) > 0)
    }

    /// Returns the time until the first upstream of a service that wants no calls now takes some again;
    /// none if one takes calls now, or none of them is kept from it by its own demand.
    pub fn earliest_return(&self, service: &str, now_ms: u64) -> Option<EarliestReturn> {
        if self.of_service(service).any(|(key, _)| self.is_usable(key, now_ms)) {
            return None;
        }
        let waiting = self.of_service(service).filter(|(_, it)| {
            let is_out = self.evacuations.contains(it.record.data_centre.as_ref());
            self.demanded_wait_ms(it, now_ms) > 0 && !it.leaves() && !is_out
        });
        let returns = waiting.map(|(_, it)| EarliestReturn {
            wait_ms: self.demanded_wait_ms(it, now_ms),
            is_resting: it.is_resting(now_ms),
        });
        returns.min_by_key(|it| it.wait_ms)
    }

    /// Returns the time for which an upstream wants no call of this entry, in milliseconds.
    fn demanded_wait_ms(&self, upstream: &Upstream, now_ms: u64) -> u64 {
        // Another entry has to be asked where this one has no share of the limit.
        let limit_ms = self.limit_wait_ms(upstream, now_ms).unwrap_or(NO_SHARE_WAIT_MS);
        upstream.rest.remaining_ms(now_ms).max(limit_ms)
    }

    fn cold_limit(&self, upstream: &Upstream) -> Option<ColdLimit> {
        let (_, per_s) = cold_start(&self.cold_starts, &upstream.record.service);
        if per_s <= 0.0 {
            return None;
        }
        let rank = upstream.entry_rank;
        Some(ColdLimit { per_s, entries: self.entries.len(), rank })
    }
}

impl Upstream {
    fn record_failure(&mut self, weight: f64, half_life_ms: f64, now_ms: u64) {
        self.failures = self.failures_at(half_life_ms, now_ms) + weight;
        self.failures_at_ms = now_ms;
    }

    /// Returns the number of failed calls, weighted by their age.
    pub(crate) fn failures_at(&self, half_life_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failures_at_ms) as f64;
        self.failures * 0.5_f64.powf(age_ms / half_life_ms)
    }

    fn record_latency(&mut self, latency_ms: f64, weight: f64, now_ms: u64) {
        let average_ms = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(average_ms + weight * (latency_ms - average_ms));
        self.latency_at_ms = now_ms;
    }
}
