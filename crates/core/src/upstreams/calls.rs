//! Calls to upstreams: whether one may be made, and what its response and its end tell.

use crate::upstreams::{
    CallEnd, ColdLimit, Load, RestRequest, RestoreSabotage, Upstream, UpstreamKey, Upstreams,
    directory::cold_start,
};

impl Upstreams {
    /// Tells whether a call may be sent to an upstream now.
    pub fn is_usable(&self, key: UpstreamKey, now_ms: u64) -> bool {
        let Some(upstream) = self.all.get(key) else { return false };
        let record = &upstream.record;
        if upstream.leaves() || upstream.is_down(now_ms) {
            return false;
        }
        if upstream.in_flight >= upstream.rest.max_in_flight(record.slots, now_ms) {
            return false;
        }
        if self.evacuations.contains(record.data_centre.as_ref()) {
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
        if !self.is_usable(key, now_ms) {
            return false;
        }
        let Some(upstream) = self.all.get(key) else { return false };
        let limit = if upstream.is_cold(now_ms) { self.cold_limit(upstream) } else { None };
        let Some(upstream) = self.all.get_mut(key) else { return false };
        if let Some(limit) = limit {
            upstream.cold_share.take_token(limit, now_ms);
        }
        upstream.in_flight += 1;
        true
    }

    /// Applies the end of a call that [`begin`](Self::begin) counted.
    pub fn end(&mut self, key: UpstreamKey, end: CallEnd, now_ms: u64) {
        let settings = self.settings;
        let Some(upstream) = self.all.get_mut(key) else { return };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
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

    /// Records the load that a response reports.
    pub fn observe_load(&mut self, key: UpstreamKey, load: Load, now_ms: u64) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.load = Some((load, now_ms));
        }
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
        self.departures.announce(&upstream.record, now_ms)
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

    /// Returns the time until the first upstream of a service that rests takes calls again, in
    /// milliseconds; none if one takes calls now, or none of them rests.
    pub fn earliest_return_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        if self.of_service(service).any(|(key, _)| self.is_usable(key, now_ms)) {
            return None;
        }
        let resting = self.of_service(service).filter(|(_, it)| {
            let is_out = self.evacuations.contains(it.record.data_centre.as_ref());
            it.is_resting(now_ms) && !it.leaves() && !is_out
        });
        resting.map(|(_, it)| it.rest.remaining_ms(now_ms)).min()
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
