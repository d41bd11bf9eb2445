//! Choice of an upstream by expected time from load reports that are stale and read by many entries.
//!
//! The load of an upstream is estimated from its last report, this entry's own calls, and the calls
//! that the other entries are likely to have sent since. The older the report, the more the estimate
//! tends to the usual load and the wider it scatters. Each entry draws a load within that scatter from
//! its own deterministic stream of random numbers, so that entries with the same report choose
//! differently, the more so the less they know.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    ids::Digest,
    upstreams::{
        Affinity, CallEnd, SelectionCriteria, Upstream, UpstreamKey, Upstreams,
        choose::{FAILURE_HALF_LIFE_MS, FAILURE_MS, OTHER_DATA_CENTRE_MS},
        directory::rendezvous_weight,
        pace::PASSED_OVER_MS,
    },
};

/// Age of a report when it arrives, in milliseconds: upstreams state loads that are some 100 ms old.
const REPORT_AGE_MS: f64 = 300.0;
/// Assumed time that a call occupies a slot before one has ended, in milliseconds.
const UNKNOWN_OCCUPANCY_MS: f64 = 1_000.0;
/// Assumed time to the first event on an unloaded upstream before one is known, in milliseconds.
const UNKNOWN_FIRST_EVENT_MS: f64 = 100.0;
/// Half-life of the observations of which a speed is learned, in milliseconds.
const SPEED_HALF_LIFE_MS: f64 = 10_000.0;
/// Number of ended calls at which an upstream's own observations weigh as much as the assumption that
/// it is as fast as the others. Durations scatter as much as their mean, so fewer say little.
const SPEED_PRIOR_CALLS: f64 = 4.0;
/// Half-life of the use from which the preference of all entries is estimated, in milliseconds; a few
/// times the duration of a call.
const HELD_HALF_LIFE_MS: f64 = 3_000.0;
/// Number of calls at which an entry's own use weighs as much as the assumption that all entries use
/// an upstream as they use the others.
const HELD_PRIOR_CALLS: f64 = 1.0;
/// Bounds of a learned speed; a wrong one must neither attract all calls nor end them.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 4.0;
/// Weight of a new time to the first event in the service's average.
const FIRST_EVENT_WEIGHT: f64 = 0.05;
/// Weight of the part of the slots in use, against that of the time to the first event. It spreads
/// calls over upstreams that have free slots.
const OCCUPANCY_WEIGHT: f64 = 1.0;
/// Part of the time to the first event that a cached prompt prefix saves.
const CACHED_PART: f64 = 0.5;
/// Time after which late first events count as persistent, in milliseconds; machines that are slow for
/// half a second at a time recover sooner.
const PERSISTENT_MS: u64 = 1_000;
/// Odd steps between the random numbers of one choice and between those of two choices.
const RANDOM_STEP: u64 = 0x9E37_79B9_7F4A_7C15;
const STREAM_STEP: u64 = 0xD1B5_4A32_D192_ED03;

/// What this entry observes of one upstream, for the choice by expected time.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    /// Start of the upstream's part of the random numbers.
    seed: u64,
    /// Number of own calls in progress, delayed by about the age of a report.
    delayed_in_flight: f64,
    /// Own calls in progress at the upstream as its last report saw them.
    reported_in_flight: f64,
    /// Integral over time of the own calls that run, at the usual speed, in milliseconds.
    occupied_ms: f64,
    /// Number of own calls that ended with a response.
    ended: f64,
    /// Integral over time of the own calls in progress, with the shorter half-life, in milliseconds.
    held_ms: f64,
    at_ms: u64,
}

/// Services that are balanced by expected time, and what is usual there.
#[derive(Debug, Default)]
pub(crate) struct Balance {
    /// Start of this entry's stream of random numbers.
    seed: u64,
    is_enabled: bool,
    /// Services of which an upstream has stated a slowdown.
    stating_services: FastSet<Arc<str>>,
    /// Average time to the first event without waiting and slowdown by service, in milliseconds.
    first_event_ms: FastMap<Arc<str>, f64>,
    /// Number of calls begun, the position in the stream of random numbers.
    begun: u64,
}

/// What is usual at the upstreams of a service.
struct Usual {
    occupancy_ms: f64,
    first_event_ms: f64,
    /// Part of the slots in use according to the last reports.
    utilisation: f64,
    /// Time for which own calls have lately held a slot, in milliseconds.
    held_per_slot_ms: f64,
    mean_slots: f64,
    /// Part of the calls that other entries send.
    others_part: f64,
    seed: u64,
}

impl Balance {
    pub(super) fn new(entry_name: &str) -> Self {
        Self { seed: Digest::of(entry_name.as_bytes()).prefix(), ..Self::default() }
    }
}

impl Upstreams {
    /// Sets whether upstreams are chosen by expected time in all services; otherwise that is done where
    /// an upstream has stated a slowdown.
    pub fn set_balanced(&mut self, is_balanced: bool) {
        self.balance.is_enabled = is_balanced;
    }

    /// Tells whether the upstreams of a service are chosen by expected time.
    pub fn is_balanced(&self, service: &str) -> bool {
        self.balance.is_enabled || self.balance.stating_services.contains(service)
    }

    /// Records that a call to an upstream begins.
    pub(super) fn record_balanced_begin(&mut self, key: UpstreamKey, now_ms: u64) {
        self.balance.begun += 1;
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.advance_occupancy(now_ms);
        }
    }

    /// Records that a call to an upstream ends.
    pub(super) fn record_balanced_end(&mut self, key: UpstreamKey, end: CallEnd, now_ms: u64) {
        let Some(upstream) = self.all.get_mut(key) else { return };
        upstream.advance_occupancy(now_ms);
        let CallEnd::Answered { latency_ms } = end else { return };
        upstream.occupancy.ended += 1.0;
        let unloaded_ms = latency_ms * upstream.running_part() / upstream.slowdown_at(now_ms);
        let service = upstream.record.service.clone();
        let average_ms = self.balance.first_event_ms.entry(service).or_insert(unloaded_ms);
        *average_ms += FIRST_EVENT_WEIGHT * (unloaded_ms - *average_ms);
    }

    /// Records that a report of an upstream has arrived and replaces the former one.
    pub(super) fn record_balanced_report(&mut self, key: UpstreamKey, now_ms: u64) {
        let Some(upstream) = self.all.get_mut(key) else { return };
        upstream.advance_occupancy(now_ms);
        upstream.occupancy.reported_in_flight = upstream.occupancy.delayed_in_flight;
        let states_slowdown = upstream.load.is_some_and(|(load, _)| load.slowdown.is_some());
        if states_slowdown && !self.balance.stating_services.contains(&upstream.record.service) {
            self.balance.stating_services.insert(upstream.record.service.clone());
        }
    }

    /// Chooses the candidate with the shortest expected time to the first event.
    pub(super) fn choose_balanced(
        &self,
        candidates: Vec<UpstreamKey>,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let usual = self.usual(criteria.service, now_ms);
        let candidates = self.without_persistently_slow(candidates, now_ms);
        let mut best: Option<(f64, UpstreamKey)> = None;
        let mut expected = Vec::with_capacity(candidates.len());
        for key in candidates {
            let Some(upstream) = self.all.get(key) else { continue };
            let expected_ms = upstream.expected_ms(&usual, criteria.data_centre, now_ms);
            expected.push((upstream, key, expected_ms));
            if best.is_none_or(|(best_ms, _)| expected_ms < best_ms) {
                best = Some((expected_ms, key));
            }
        }
        let (best_ms, best_key) = best?;
        let Some(affinity) = criteria.affinity else { return Some(best_key) };
        let prefix = self.grouped_prefix(affinity, &usual);
        let home = home_within(&expected, &prefix, best_ms, &usual, now_ms);
        Some(home.unwrap_or(best_key))
    }

    /// Returns those of the candidates whose first events have not been late for long; all of them if
    /// too many are late.
    fn without_persistently_slow(
        &self,
        candidates: Vec<UpstreamKey>,
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        let remaining = self.without_slow(candidates.clone(), now_ms);
        if remaining.len() == candidates.len() {
            return remaining;
        }
        let is_briefly_slow = |key: &UpstreamKey| {
            self.all.get(*key).is_some_and(|it| {
                it.slow_until_ms.saturating_sub(it.slow_since_ms) < PASSED_OVER_MS + PERSISTENT_MS
            })
        };
        let mut candidates = candidates;
        candidates.retain(|it| is_briefly_slow(it) || remaining.contains(it));
        candidates
    }

    /// Returns the subject by which upstreams are ordered for a prefix: the prefix and the group of this
    /// entry. There are as many groups as it takes that the first calls with a new prefix, of which
    /// nobody knows yet how frequent it is, find free slots when every entry of a group sends one.
    fn grouped_prefix(&self, affinity: &Affinity, usual: &Usual) -> String {
        let groups = (self.entries.len() as f64 / usual.mean_slots).ceil().max(1.0) as u64;
        match self.balance.seed % groups {
            0 => affinity.prefix.clone(),
            group => format!("{}\0{group}", affinity.prefix),
        }
    }

    fn usual(&self, service: &str, now_ms: u64) -> Usual {
        let (mut occupied_ms, mut ended) = (UNKNOWN_OCCUPANCY_MS, 1.0);
        let (mut reported, mut slots) = (0.0, 0.0);
        let (mut held_ms, mut all_slots, mut count) = (0.0, 0.0, 0.0);
        for (_, upstream) in self.of_service(service) {
            let weight = upstream.occupancy.weight_at(now_ms);
            occupied_ms += upstream.occupancy.occupied_ms * weight;
            ended += upstream.occupancy.ended * weight;
            held_ms += upstream.held_ms(now_ms);
            all_slots += f64::from(upstream.record.slots.max(1));
            count += 1.0;
            if let Some((load, _)) = upstream.load {
                reported += f64::from(load.running + load.waiting);
                slots += f64::from(upstream.record.slots.max(1));
            }
        }
        let entries = self.entries.len().max(1) as f64;
        let first_event_ms = self.balance.first_event_ms.get(service).copied();
        Usual {
            occupancy_ms: (occupied_ms / ended).max(1.0),
            first_event_ms: first_event_ms.unwrap_or(UNKNOWN_FIRST_EVENT_MS),
            utilisation: if slots > 0.0 { reported / slots } else { 0.5 },
            held_per_slot_ms: held_ms / f64::max(all_slots, 1.0),
            mean_slots: if count > 0.0 { all_slots / count } else { 1.0 },
            others_part: (entries - 1.0) / entries,
            seed: self.balance.seed.wrapping_add(self.balance.begun.wrapping_mul(STREAM_STEP)),
        }
    }
}

/// Returns the first upstream in the prefix's order whose expected time with the cached prefix is not
/// longer than the shortest elsewhere without it.
///
/// The calls of a frequent prefix thereby spread over as many upstreams as they need, and these are
/// the same for all entries.
fn home_within(
    expected: &[(&Upstream, UpstreamKey, f64)],
    prefix: &str,
    best_ms: f64,
    usual: &Usual,
    now_ms: u64,
) -> Option<UpstreamKey> {
    let mut home: Option<(u64, UpstreamKey)> = None;
    for (upstream, key, expected_ms) in expected {
        let saved_ms = upstream.first_event_ms(usual, now_ms) * CACHED_PART;
        if expected_ms - saved_ms > best_ms {
            continue;
        }
        let weight = rendezvous_weight(&upstream.record.id, prefix);
        if home.is_none_or(|(home_weight, _)| weight > home_weight) {
            home = Some((weight, *key));
        }
    }
    home.map(|(_, key)| key)
}

impl Occupancy {
    pub(super) fn new(upstream_id: &str) -> Self {
        Self {
            seed: Digest::of(upstream_id.as_bytes()).prefix(),
            delayed_in_flight: 0.0,
            reported_in_flight: 0.0,
            occupied_ms: 0.0,
            ended: 0.0,
            held_ms: 0.0,
            at_ms: 0,
        }
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        0.5_f64.powf(now_ms.saturating_sub(self.at_ms) as f64 / SPEED_HALF_LIFE_MS)
    }

    fn held_weight_at(&self, now_ms: u64) -> f64 {
        0.5_f64.powf(now_ms.saturating_sub(self.at_ms) as f64 / HELD_HALF_LIFE_MS)
    }
}

impl Upstream {
    /// Accounts for the time since the last change of the own calls in progress.
    fn advance_occupancy(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.occupancy.at_ms) as f64;
        let in_flight = f64::from(self.in_flight);
        let running = in_flight * self.running_part() / self.slowdown_at(now_ms);
        let weight = self.occupancy.weight_at(now_ms);
        let held_weight = self.occupancy.held_weight_at(now_ms);
        let occupancy = &mut self.occupancy;
        occupancy.occupied_ms = occupancy.occupied_ms * weight + running * elapsed_ms;
        occupancy.ended *= weight;
        occupancy.held_ms = occupancy.held_ms * held_weight + in_flight * elapsed_ms;
        let delay = (-elapsed_ms / REPORT_AGE_MS).exp();
        occupancy.delayed_in_flight = in_flight + (occupancy.delayed_in_flight - in_flight) * delay;
        occupancy.at_ms = now_ms;
    }

    /// Returns the integral of the own calls in progress, weighted by age.
    fn held_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.occupancy.at_ms) as f64;
        self.occupancy.held_ms * self.occupancy.held_weight_at(now_ms)
            + f64::from(self.in_flight) * elapsed_ms
    }

    /// Returns the part of the upstream's calls that run and don't wait, according to the last report.
    fn running_part(&self) -> f64 {
        let Some((load, _)) = self.load else { return 1.0 };
        f64::from(load.running.max(1)) / f64::from((load.running + load.waiting).max(1))
    }

    /// Returns the learned speed as a multiple of the usual one.
    fn speed(&self, usual: &Usual, now_ms: u64) -> f64 {
        let weight = self.occupancy.weight_at(now_ms);
        let ended = self.occupancy.ended * weight + SPEED_PRIOR_CALLS;
        let occupied_ms =
            self.occupancy.occupied_ms * weight + SPEED_PRIOR_CALLS * usual.occupancy_ms;
        (usual.occupancy_ms * ended / occupied_ms).clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns the expected time to the first event of a call that finds a free slot.
    fn first_event_ms(&self, usual: &Usual, now_ms: u64) -> f64 {
        usual.first_event_ms * self.slowdown_at(now_ms) / self.speed(usual, now_ms)
    }

    /// Returns the expected time to the first event at a load that is drawn from its likely ones, with
    /// penalties for distance and failures, in milliseconds.
    fn expected_ms(&self, usual: &Usual, data_centre: Option<&str>, now_ms: u64) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let pace = self.slowdown_at(now_ms) / self.speed(usual, now_ms);
        // The other entries are likely to use the upstream more than others where this one does.
        let prior_ms = HELD_PRIOR_CALLS * usual.occupancy_ms;
        let preference =
            (self.held_ms(now_ms) + prior_ms) / (usual.held_per_slot_ms * slots + prior_ms);
        let mean_others = usual.utilisation * slots * usual.others_part * preference;
        let (others, scatter) = match self.load {
            Some((load, at_ms)) => {
                let age_ms = now_ms.saturating_sub(at_ms) as f64 + REPORT_AGE_MS;
                let reported = f64::from(load.running + load.waiting);
                let others = (reported - self.occupancy.reported_in_flight).max(0.0);
                // After the time of one call, the calls of the report have been replaced by others.
                let kept = (-age_ms / (usual.occupancy_ms * (reported / slots).max(1.0))).exp();
                let likely = mean_others + (others - mean_others) * kept;
                (likely, mean_others.max(1.0) * (1.0 - kept * kept))
            }
            None => (mean_others, mean_others.max(1.0)),
        };
        let scatter = if usual.others_part > 0.0 { scatter.sqrt() } else { 0.0 };
        let load = f64::from(self.in_flight) + (others + scatter * self.draw(usual.seed)).max(0.0);
        let waiting = (load + 1.0 - slots).max(0.0);
        let is_remote = data_centre.is_some_and(|it| it != self.record.data_centre.as_ref());
        let distance_ms = if is_remote { OTHER_DATA_CENTRE_MS } else { 0.0 };
        let failures = self.failures_at(FAILURE_HALF_LIFE_MS, now_ms);
        usual.first_event_ms * (pace + OCCUPANCY_WEIGHT * (load + 1.0) / slots)
            + usual.occupancy_ms * pace * waiting / slots
            + distance_ms
            + failures * FAILURE_MS
    }

    /// Draws a number with mean 0 and variance 1 for this upstream.
    fn draw(&self, seed: u64) -> f64 {
        let mut sum = 0.0;
        let mut state = seed ^ self.occupancy.seed;
        // The sum of three uniform numbers is close enough to a normal one.
        for _ in 0..3 {
            state = state.wrapping_add(RANDOM_STEP);
            let mut mixed = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
            mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
            sum += ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
        }
        (sum - 1.5) * 2.0
    }
}
