//! Detection of upstreams whose streams begin much later than those of the others.
//!
//! Load that this answers: a hundred entries in front of 160 model upstreams, a fifth of which turn slow
//! for some seconds. One entry calls one upstream every twenty seconds, so it can't learn alone which of
//! them are slow, and the choice by prefix would keep every prompt with its slow upstream. An entry that
//! waits too long for a first event tells the others, and for a short while all of them pass over the
//! upstream. Then a few entries try it again before the others do.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{
    FastMap,
    upstreams::{Upstream, UpstreamKey, Upstreams},
};

/// Multiple of the service's usual time to a first event from which an upstream counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Time to a first event below which no upstream counts as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 1_000.0;
/// Weight of a new time to a first event in the service's usual one.
const USUAL_WEIGHT: f64 = 0.05;
/// Time for which a slow upstream is passed over, in milliseconds.
pub(super) const PASSED_OVER_MS: u64 = 3_000;
/// Time after that in which only a few entries use it, in milliseconds.
const TRIAL_MS: u64 = 2_000;
/// Number of entries that use it then.
const TRIAL_ENTRIES: usize = 4;
/// Largest part of a service's upstreams that is passed over; when more of them are late, the whole
/// service is overloaded.
const MAX_SLOW_FRACTION: f64 = 0.34;

new_key_type! {
    /// Identifies a call whose first event has not arrived.
    pub struct FirstEventKey;
}

/// An upstream that is passed over, as told to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowUpstream {
    /// Identifier under which the upstream is listed.
    pub id: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<i64>,
    /// Time for which it is still passed over, in milliseconds.
    pub remaining_ms: u64,
}

#[derive(Clone, Debug)]
struct PendingCall {
    upstream: UpstreamKey,
    service: Arc<str>,
    sent_ms: u64,
    /// Time to the first event without other load, in milliseconds.
    nominal_ms: f64,
}

/// Calls whose first event has not arrived, and the usual time to a first event.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    pending: SlotMap<FirstEventKey, PendingCall>,
    /// Usual time to a first event by service, as a multiple of the nominal one.
    usual: FastMap<Arc<str>, f64>,
}

impl Pace {
    fn is_late(&self, call: &PendingCall, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(call.sent_ms) as f64;
        let usual = self.usual.get(&call.service).copied().unwrap_or(1.0).max(1.0);
        waited_ms >= MIN_SLOW_MS && waited_ms >= call.nominal_ms * usual * SLOW_FACTOR
    }
}

impl Upstreams {
    /// Records that a call was sent whose first event is expected after `nominal_ms` milliseconds
    /// without other load.
    pub fn await_first_event(
        &mut self,
        upstream: UpstreamKey,
        nominal_ms: f64,
        now_ms: u64,
    ) -> Option<FirstEventKey> {
        let service = self.get(upstream)?.record.service.clone();
        let call = PendingCall { upstream, service, sent_ms: now_ms, nominal_ms };
        Some(self.pace.pending.insert(call))
    }

    /// Records that the first event of a call has arrived.
    pub fn record_first_event(&mut self, key: FirstEventKey, now_ms: u64) {
        let Some(call) = self.pace.pending.remove(key) else { return };
        if self.pace.is_late(&call, now_ms) {
            self.pass_over(call.upstream, now_ms);
        }
        let ratio = now_ms.saturating_sub(call.sent_ms) as f64 / call.nominal_ms.max(1.0);
        let usual = self.pace.usual.entry(call.service).or_insert(ratio);
        // A single late event must not make the late ones usual.
        *usual += USUAL_WEIGHT * (ratio.min(*usual * 2.0) - *usual);
    }

    /// Forgets a call that ended without a first event.
    pub fn forget_first_event(&mut self, key: FirstEventKey) {
        self.pace.pending.remove(key);
    }

    /// Passes over the upstreams whose first events are late now.
    pub fn detect_slow(&mut self, now_ms: u64) {
        let late = self.pace.pending.values().filter(|it| self.pace.is_late(it, now_ms));
        let late: Vec<UpstreamKey> = late.map(|it| it.upstream).collect();
        for key in late {
            self.pass_over(key, now_ms);
        }
    }

    /// Returns the time after which the first event of a call to a service usually arrives, in
    /// milliseconds, where `nominal_ms` is that without other load.
    pub fn usual_first_event_ms(&self, service: &str, nominal_ms: f64) -> f64 {
        nominal_ms * self.pace.usual.get(service).copied().unwrap_or(1.0).max(1.0)
    }

    /// Tells whether an upstream is passed over because its streams begin late.
    pub fn is_slow(&self, key: UpstreamKey, now_ms: u64) -> bool {
        let Some(upstream) = self.get(key) else { return false };
        let trial_until_ms = upstream.slow_until_ms + TRIAL_MS;
        let is_on_trial = upstream.slow_until_ms > 0 && now_ms < trial_until_ms;
        now_ms < upstream.slow_until_ms || is_on_trial && upstream.entry_rank >= TRIAL_ENTRIES
    }

    /// Returns the upstreams that are passed over, for other entries.
    pub(crate) fn slow_upstreams(&self, now_ms: u64) -> Vec<SlowUpstream> {
        let slow = self.all.values().filter(|it| now_ms < it.slow_until_ms);
        slow.map(|it| SlowUpstream {
            id: it.record.id.clone(),
            started_unix_ms: it.record.started_unix_ms,
            remaining_ms: it.slow_until_ms - now_ms,
        })
        .collect()
    }

    /// Passes over upstreams that another entry has found slow.
    pub(crate) fn merge_slow(&mut self, slow: &[SlowUpstream], now_ms: u64) {
        for told in slow {
            let Some(upstream) = self.key_of(&told.id).and_then(|it| self.all.get_mut(it)) else {
                continue;
            };
            if upstream.record.started_unix_ms != told.started_unix_ms {
                continue;
            }
            let until_ms = now_ms + told.remaining_ms.min(PASSED_OVER_MS);
            upstream.pass_over(upstream.slow_until_ms.max(until_ms), now_ms);
        }
    }

    /// Returns those of the candidates that are not slow; all of them if too many are.
    pub(crate) fn without_slow(
        &self,
        candidates: Vec<UpstreamKey>,
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        let slow = candidates.iter().filter(|it| self.is_slow(**it, now_ms)).count();
        if slow == 0 || slow as f64 > candidates.len() as f64 * MAX_SLOW_FRACTION {
            return candidates;
        }
        candidates.into_iter().filter(|it| !self.is_slow(*it, now_ms)).collect()
    }

    fn pass_over(&mut self, key: UpstreamKey, now_ms: u64) {
        if let Some(upstream) = self.all.get_mut(key) {
            upstream.pass_over(now_ms + PASSED_OVER_MS, now_ms);
        }
    }
}

impl Upstream {
    fn pass_over(&mut self, until_ms: u64, now_ms: u64) {
        if now_ms >= self.slow_until_ms {
            self.slow_since_ms = now_ms;
        }
        self.slow_until_ms = until_ms;
    }
}
