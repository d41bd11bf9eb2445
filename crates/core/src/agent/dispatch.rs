//! Dispatch of queued attempts to the upstream, and their refusal as not run.

use super::{
    core::{AgentCore, Dispatch, RunningCall},
    crash_detection::ProbeTicket,
};
use crate::{
    attempt::{AttemptKey, DispatchCheck},
    capacity::CallEnd,
    drain::{DispatchHold, GateChange},
    ids::{AttemptId, Digest},
    outcome::{Reason, Refusal},
    quarantine::Admission,
    queue::{Dropped, EntryKey, Popped, QueueEntry},
    request_limit::LimitShare,
};

/// Shortest retry delay suggested for a busy upstream, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 250;
/// Retry delay suggested when an upstream refuses new work, in milliseconds.
const CLOSED_RETRY_AFTER_MS: u64 = 1_000;
/// Largest age of a probe that permits a start beyond the cold limit, in milliseconds.
const MAX_PROBE_AGE_MS: u64 = 5;

impl AgentCore {
    /// Returns the next attempt to send to the upstream, if one may start now.
    ///
    /// The caller must read `now_ms` immediately before the call, because the process may have been
    /// paused.
    pub fn next(&mut self, now_ms: u64) -> Option<Dispatch> {
        self.expire(now_ms);
        loop {
            match self.gate.may_dispatch(now_ms) {
                Ok(()) => {}
                Err(DispatchHold::Unconfirmed) => return None,
                Err(DispatchHold::Refused(reason)) => {
                    self.refuse_queued(reason, now_ms);
                    return None;
                }
            }
            if self.crash_detector.is_suspected() || self.limit_wait_ms(now_ms) > 0 {
                return None;
            }
            self.capacity.on_tick(now_ms);
            if !self.capacity.can_start() {
                return None;
            }
            let Some(popped) = self.pop(now_ms) else {
                self.needs_probe |= self.start_needs_probe() && self.queue.queued() > 0;
                return None;
            };
            if let Some(dispatch) = self.start(popped, now_ms) {
                return Some(dispatch);
            }
        }
    }

    /// Takes the next attempt from the queue if the known state of the upstream permits its start.
    ///
    /// An upstream may become cold without notice. A start beyond the cold limit therefore needs a
    /// recent probe that was sent after the attempt arrived: otherwise an older probe would admit a
    /// burst that arrives immediately after the upstream became cold.
    fn pop(&mut self, now_ms: u64) -> Option<Popped> {
        if !self.start_needs_probe() {
            return self.queue.pop(now_ms);
        }
        let probe = self.recent_probe(now_ms)?;
        #[cfg(feature = "sabotage")]
        if self.skips_arrival_check {
            return self.queue.pop(now_ms);
        }
        let Self { queue, waiting, keys_by_queue_entry, .. } = self;
        queue.pop_if(now_ms, |entry| {
            let waiting = keys_by_queue_entry.get(&entry).and_then(|it| waiting.get(it));
            waiting.is_none_or(|it| it.probes_sent < probe.number)
        })
    }

    /// Tells whether the next start exceeds the cold limit and so needs a probe that shows the
    /// upstream warm.
    fn start_needs_probe(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.skips_probe_check {
            return false;
        }
        self.capacity.running() >= self.capacity.cold_limit()
    }

    /// Returns the latest probe answered in the current capacity epoch, if it is recent.
    fn recent_probe(&self, now_ms: u64) -> Option<ProbeTicket> {
        let epoch = self.capacity.epoch();
        self.confirming_probe
            .filter(|it| it.epoch == epoch && now_ms <= it.sent_ms + MAX_PROBE_AGE_MS)
    }

    /// Starts an attempt taken from the queue, unless it may no longer run.
    pub(super) fn start(&mut self, popped: Popped, now_ms: u64) -> Option<Dispatch> {
        let Some(&key) = self.keys_by_queue_entry.get(&popped.key) else {
            self.queue.finish(popped.key);
            return None;
        };
        let waiting = self.waiting[&key];
        match self.quarantine.admit(waiting.fingerprint, now_ms) {
            Admission::Refused => {
                self.queue.finish(popped.key);
                self.refuse(key, Reason::Quarantined, now_ms);
                return None;
            }
            Admission::Exclusive if !popped.entry.exclusive => {
                self.requeue_exclusive(key, popped, waiting.fingerprint, now_ms);
                return None;
            }
            Admission::Exclusive | Admission::Normal => {}
        }
        let Some(call) = self.capacity.try_start(now_ms, popped.entry.estimate_ms) else {
            self.queue.finish(popped.key);
            self.refuse(key, Reason::Busy, now_ms);
            return None;
        };
        if self.ledger.begin_dispatch(key, now_ms) != DispatchCheck::Dispatch {
            self.capacity.finish(now_ms, call, CallEnd::Abandoned);
            self.queue.finish(popped.key);
            self.untrack_queued(key, popped.key);
            self.changed.push(waiting.attempt);
            return None;
        }
        self.request_limit.take(LimitShare::Sole, now_ms);
        self.waiting.remove(&key);
        let queued_ms = popped.queued_ms;
        let started = RunningCall {
            accepted: waiting,
            capacity_key: call,
            started_ms: now_ms,
            queued_ms,
            tokens: 0,
        };
        self.calls.insert(key, started);
        Some(Dispatch { key, attempt: waiting.attempt, queued_ms })
    }

    /// Requeues, as exclusive, an attempt whose request received a strike while it waited.
    pub(super) fn requeue_exclusive(
        &mut self,
        key: AttemptKey,
        popped: Popped,
        fingerprint: Digest,
        now_ms: u64,
    ) {
        self.queue.finish(popped.key);
        self.untrack_queued(key, popped.key);
        let entry = QueueEntry { exclusive: true, ..popped.entry };
        if let Err(reason) = self.push(key, entry, fingerprint, now_ms) {
            self.refuse(key, reason, now_ms);
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        for dropped in self.queue.expire(now_ms) {
            self.refuse_dropped(dropped, now_ms);
        }
    }

    pub(super) fn on_gate_change(&mut self, change: GateChange, now_ms: u64) {
        if let GateChange::Closed(reason) = change {
            self.refuse_queued(reason, now_ms);
        }
    }

    pub(super) fn refuse_queued(&mut self, reason: Reason, now_ms: u64) {
        for dropped in self.queue.drain(reason) {
            self.refuse_dropped(dropped, now_ms);
        }
    }

    pub(super) fn refuse_dropped(&mut self, dropped: Dropped, now_ms: u64) {
        let Some(&key) = self.keys_by_queue_entry.get(&dropped.key) else { return };
        self.refuse(key, dropped.reason, now_ms);
    }

    pub(super) fn refuse(&mut self, key: AttemptKey, reason: Reason, now_ms: u64) {
        let refusal = Refusal::not_run(reason, self.retry_after_ms(reason, now_ms));
        self.ledger.refuse(key, refusal, now_ms);
        let Some(waiting) = self.waiting.get(&key).copied() else { return };
        self.untrack_queued(key, waiting.queue_key);
        self.changed.push(waiting.attempt);
    }

    pub(super) fn remove_queued(&mut self, attempt: AttemptId) {
        let Some(key) = self.ledger.key(attempt) else { return };
        let Some(waiting) = self.waiting.get(&key).copied() else { return };
        self.queue.remove(waiting.queue_key);
        self.untrack_queued(key, waiting.queue_key);
        self.changed.push(attempt);
    }

    pub(super) fn untrack_queued(&mut self, key: AttemptKey, entry: EntryKey) {
        self.waiting.remove(&key);
        self.keys_by_queue_entry.remove(&entry);
    }

    pub(super) fn retry_after_ms(&self, reason: Reason, now_ms: u64) -> u64 {
        match reason {
            Reason::Busy | Reason::CustomerShare | Reason::Cold | Reason::DeadlineUnreachable => {
                let slots = u64::from(self.capacity.limit().max(1));
                let work_ms = self.queue.queued_work_ms() / slots;
                BUSY_RETRY_AFTER_MS.max(work_ms).max(self.limit_wait_ms(now_ms))
            }
            _ => CLOSED_RETRY_AFTER_MS,
        }
    }
}
