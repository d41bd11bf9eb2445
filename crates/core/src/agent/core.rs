//! The state machine of one agent.

use bytes::Bytes;

use super::{
    crash_detection::{CallResult, CrashDetector, ProbeTicket, usage},
    settings::AgentSettings,
};
use crate::{
    FastMap,
    attempt::{
        AttemptFailure, AttemptKey, AttemptLedger, AttemptLookup, CancelResult, SubmitResult,
    },
    capacity::{CallEnd, CallKey, Capacity, CapacityConfig},
    control::ControlState,
    document::{Customer, Document},
    drain::Gate,
    ids::{AttemptId, Digest, Incarnation},
    membership::InstanceState,
    outcome::Reason,
    quarantine::{Admission, Quarantine, Strike},
    queue::{EntryKey, Queue, QueueEntry},
    request_limit::RequestLimit,
    routing::LoadReport,
};

/// Time allowed for an entry to send newer control state before another entry is asked, in
/// milliseconds.
const FETCH_TIMEOUT_MS: u64 = 300;
/// Queue limit until the document that describes the upstream's pool is known: no call may wait.
const INITIAL_QUEUE_LIMIT: u32 = 0;

/// An attempt that an entry submits to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the entry chose.
    pub agent: Incarnation,
    /// Pool that the entry expects the upstream to belong to.
    pub pool: String,
    /// Customer on whose behalf the call is made.
    pub customer: String,
    /// Digest of the customer, target and body of the request.
    pub fingerprint: Digest,
    /// Strikes that the entry holds against the request.
    pub strikes: Vec<Strike>,
    /// Latest time at which the attempt may be dispatched, in milliseconds.
    pub dispatch_by_ms: u64,
    /// Deadline of the response, in milliseconds.
    pub deadline_ms: u64,
    /// Expected run time, in milliseconds.
    pub estimate_ms: u64,
}

/// An attempt that the caller must send to the upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Key to pass to [`AgentCore::push_chunk`] and [`AgentCore::on_end`].
    pub key: AttemptKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// Time that the attempt spent in the queue, in milliseconds.
    pub queued_ms: u64,
}

/// An accepted attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) fingerprint: Digest,
    pub(super) queue_key: EntryKey,
    /// Number of probes that had been sent when the attempt was queued.
    pub(super) probes_sent: u64,
}

/// A call in progress at the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub(super) accepted: AcceptedAttempt,
    pub(super) capacity_key: CallKey,
    pub(super) started_ms: u64,
    pub(super) queued_ms: u64,
    pub(super) tokens: u64,
}

/// State machine of one agent, which serves one upstream.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) settings: AgentSettings,
    pub(super) ledger: AttemptLedger,
    pub(super) queue: Queue,
    pub(super) capacity: Capacity,
    pub(super) gate: Gate,
    pub(super) quarantine: Quarantine,
    pub(super) crash_detector: CrashDetector,
    /// Limit that the upstream states on its requests.
    pub(super) request_limit: RequestLimit,
    /// Boot of the upstream that the limit belongs to, if it is known.
    pub(super) limited_boot_id: Option<u64>,
    pub(super) waiting: FastMap<AttemptKey, AcceptedAttempt>,
    pub(super) keys_by_queue_entry: FastMap<EntryKey, AttemptKey>,
    pub(super) calls: FastMap<AttemptKey, RunningCall>,
    /// Attempts whose state or output has changed since the last [`AgentCore::take_changed`].
    pub(super) changed: Vec<AttemptId>,
    /// Latest probe that was answered within its capacity epoch.
    pub(super) confirming_probe: Option<ProbeTicket>,
    pub(super) needs_probe: bool,
    pub(super) probes_sent: u64,
    #[cfg(feature = "sabotage")]
    pub(super) skips_probe_check: bool,
    #[cfg(feature = "sabotage")]
    pub(super) skips_arrival_check: bool,
    #[cfg(feature = "sabotage")]
    pub(super) skips_request_limit: bool,
    /// Time by which the entry that was asked for newer control state has to send it, in
    /// milliseconds.
    pub(super) fetch_deadline_ms: u64,
}

impl AgentCore {
    /// Creates the state of an agent that starts at `now_ms` and has no information about its
    /// upstream.
    pub fn new(settings: AgentSettings, now_ms: u64) -> Self {
        Self {
            ledger: AttemptLedger::new(settings.ledger),
            queue: Queue::new(INITIAL_QUEUE_LIMIT),
            capacity: Capacity::new(CapacityConfig::default()),
            gate: Gate::new(settings.gate.clone(), now_ms),
            quarantine: Quarantine::new(settings.quarantine),
            crash_detector: CrashDetector::default(),
            request_limit: RequestLimit::default(),
            limited_boot_id: None,
            waiting: FastMap::default(),
            keys_by_queue_entry: FastMap::default(),
            calls: FastMap::default(),
            changed: Vec::new(),
            confirming_probe: None,
            needs_probe: false,
            probes_sent: 0,
            #[cfg(feature = "sabotage")]
            skips_probe_check: false,
            #[cfg(feature = "sabotage")]
            skips_arrival_check: false,
            #[cfg(feature = "sabotage")]
            skips_request_limit: false,
            fetch_deadline_ms: 0,
            settings,
        }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: super::Sabotage) {
        match mechanism {
            super::Sabotage::Capacity(mechanism) => self.capacity.sabotage(mechanism),
            super::Sabotage::Gate(mechanism) => self.gate.sabotage(mechanism),
            super::Sabotage::Ledger(mechanism) => {
                self.ledger = AttemptLedger::with_sabotage(self.settings.ledger, mechanism);
            }
            super::Sabotage::ProbeBeforeStart => self.skips_probe_check = true,
            super::Sabotage::ProbeAfterArrival => self.skips_arrival_check = true,
            super::Sabotage::RequestLimit => self.skips_request_limit = true,
        }
    }

    /// Applies the control state of the process.
    pub fn set_control(&mut self, control: &ControlState, now_ms: u64) {
        self.fetch_deadline_ms = 0;
        let change = self.gate.set_control(control);
        if let Ok(document) = control.serving_document() {
            self.set_document(document);
        }
        self.on_gate_change(change, now_ms);
    }

    /// Applies the upstream's state in the instance list of version `list_version`.
    pub fn set_listed(&mut self, list_version: u64, state: InstanceState, now_ms: u64) {
        let change = self.gate.set_listed(list_version, state);
        self.on_gate_change(change, now_ms);
    }

    /// Begins a graceful shutdown: queued attempts are refused as not run, running ones finish.
    pub fn stop(&mut self, now_ms: u64) {
        let change = self.gate.stop();
        self.on_gate_change(change, now_ms);
    }

    /// Records a confirmation of the control state; see [`Gate::confirm`].
    pub fn confirm_control(&mut self, sent_ms: u64, age_ms: u64) {
        self.gate.confirm(sent_ms, age_ms);
    }

    /// Returns an upper bound on the age of the control state, in milliseconds; `None` if it was
    /// never confirmed.
    pub fn control_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.gate.age_ms(now_ms)
    }

    /// Tells whether to ask the sender of a heartbeat for another exchange immediately.
    ///
    /// Of several entries that announce newer versions, only one is asked for them at a time.
    pub fn should_sync_again(&mut self, is_outdated: bool, now_ms: u64) -> bool {
        if self.gate.awaits_confirmation() {
            return true;
        }
        if !is_outdated || now_ms < self.fetch_deadline_ms {
            return false;
        }
        self.fetch_deadline_ms = now_ms + FETCH_TIMEOUT_MS;
        true
    }

    /// Accepts or refuses an attempt.
    pub fn submit(&mut self, submission: &Submission, now_ms: u64) -> AttemptLookup {
        if submission.agent != self.settings.incarnation {
            return AttemptLookup::Unknown;
        }
        let key = match self.ledger.submit(submission.attempt, submission.dispatch_by_ms, now_ms) {
            SubmitResult::Queued(key) => key,
            SubmitResult::Duplicate(_) => return self.read(submission.attempt, 0, 0),
            SubmitResult::NotRun(refusal) => return AttemptLookup::NotRun(refusal),
            SubmitResult::Unknown => return AttemptLookup::Unknown,
        };
        if let Err(reason) = self.enqueue(key, submission, now_ms) {
            self.refuse(key, reason, now_ms);
        }
        self.read(submission.attempt, 0, 0)
    }

    /// Appends a chunk to the output of a running attempt.
    pub fn push_chunk(&mut self, key: AttemptKey, chunk: Bytes) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.tokens += 1;
        if self.ledger.push_chunk(key, chunk) {
            self.changed.push(call.accepted.attempt);
        }
    }

    /// Ends a call and records its result.
    pub fn on_end(&mut self, key: AttemptKey, result: &CallResult, now_ms: u64) {
        let Some(call) = self.calls.remove(&key) else { return };
        self.untrack_queued(key, call.accepted.queue_key);
        self.queue.finish(call.accepted.queue_key);
        self.capacity.finish(now_ms, call.capacity_key, call_end(result));
        if *result == CallResult::NotConnected {
            self.capacity.on_connect_failure(now_ms);
        }
        let usage = usage(call.started_ms, now_ms, call.queued_ms, call.tokens);
        self.changed.push(call.accepted.attempt);
        if let CallResult::Completed { status, content_type } = result {
            self.quarantine.on_complete(call.accepted.fingerprint);
            self.ledger.complete(key, *status, content_type.clone(), usage, now_ms);
            return;
        }
        let (reason, execution, status) = result.failure();
        let failure = AttemptFailure { reason, execution, status, usage };
        self.ledger.fail(key, failure, now_ms);
    }

    /// Cancels an attempt; a returned key identifies a running call that the caller may abort.
    pub fn cancel(
        &mut self,
        attempt: AttemptId,
        agent: Incarnation,
        dispatch_by_ms: u64,
        now_ms: u64,
    ) -> (AttemptLookup, Option<AttemptKey>) {
        if agent != self.settings.incarnation {
            return (AttemptLookup::Unknown, None);
        }
        match self.ledger.cancel(attempt, dispatch_by_ms, now_ms) {
            CancelResult::NotRun(refusal) => {
                self.remove_queued(attempt);
                (AttemptLookup::NotRun(refusal), None)
            }
            CancelResult::Running(key) => (self.read(attempt, 0, 0), Some(key)),
            CancelResult::Ended(_) => (self.read(attempt, 0, 0), None),
            CancelResult::Unknown => (AttemptLookup::Unknown, None),
        }
    }

    /// Returns the state of an attempt and its output from chunk `from_sequence` on.
    pub fn read(&self, attempt: AttemptId, from_sequence: u64, max_bytes: usize) -> AttemptLookup {
        self.ledger.read(attempt, from_sequence, max_bytes)
    }

    /// Tells whether a response broke off and no probe has shown yet whether the upstream crashed.
    pub fn is_crash_suspected(&self) -> bool {
        self.crash_detector.is_suspected()
    }

    /// Merges strikes received from a peer.
    pub fn merge_strikes(&mut self, strikes: &[Strike], now_ms: u64) {
        self.quarantine.merge(strikes, now_ms);
    }

    /// Returns the strikes to send to peers.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        self.quarantine.recent_strikes(now_ms)
    }

    /// Does the periodic work. The interval between two calls must stay below the pause limit, or
    /// the gate treats the interval as a pause of the process.
    pub fn tick(&mut self, now_ms: u64) {
        self.gate.tick(now_ms);
        self.capacity.on_tick(now_ms);
        self.expire(now_ms);
        self.ledger.evict(now_ms);
        self.quarantine.expire(now_ms);
    }

    /// Returns the load to report with every reply.
    pub fn load(&self, now_ms: u64) -> LoadReport {
        let running = self.calls.len() as u32;
        // Entries choose other upstreams until the next request is permitted.
        let is_limited = self.limit_wait_ms(now_ms) > 0;
        let limit = if is_limited { running } else { self.capacity.limit() };
        LoadReport {
            running,
            queued: self.queue.queued(),
            limit,
            projected_limit: self.capacity.projected_limit(),
            cold: self.capacity.is_cold(),
            draining: self.gate.is_draining(),
        }
    }

    /// Returns the number of accepted attempts that have not ended.
    pub fn in_progress_count(&self) -> u32 {
        (self.waiting.len() + self.calls.len()) as u32
    }

    /// Tells whether an attempt waits for dispatch.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.ledger.key(attempt).is_some_and(|it| self.waiting.contains_key(&it))
    }

    /// Tells whether an attempt waits for dispatch or runs.
    pub fn is_in_progress(&self, attempt: AttemptId) -> bool {
        let Some(key) = self.ledger.key(attempt) else { return false };
        self.waiting.contains_key(&key) || self.calls.contains_key(&key)
    }

    /// Tells whether the ledger still holds a record of an attempt.
    pub fn has_record(&self, attempt: AttemptId) -> bool {
        self.ledger.key(attempt).is_some()
    }

    /// Returns the attempts whose state or output has changed since the previous call.
    pub fn take_changed(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.changed)
    }

    fn set_document(&mut self, document: &Document) {
        for Customer { name, share } in &document.customers {
            self.queue.register_customer(name, *share);
        }
        self.quarantine.set_strike_limit(document.limits.quarantine_strikes);
        let Some(pool) = document.pool(&self.settings.pool) else { return };
        self.queue.set_max_queued(pool.queue);
        self.capacity.set_config(CapacityConfig {
            concurrency: pool.concurrency,
            cold_concurrency: pool.cold_concurrency,
        });
    }

    fn enqueue(
        &mut self,
        key: AttemptKey,
        submission: &Submission,
        now_ms: u64,
    ) -> Result<(), Reason> {
        self.gate.may_accept(now_ms)?;
        // Another upstream may take the attempt at once.
        if self.is_request_limited() && (self.limit_wait_ms(now_ms) > 0 || self.queue.queued() > 0)
        {
            return Err(Reason::Busy);
        }
        if submission.pool != self.settings.pool {
            return Err(Reason::WrongUpstream);
        }
        let admission =
            self.quarantine.admit_submit(submission.fingerprint, &submission.strikes, now_ms);
        let exclusive = match admission {
            Some(Admission::Normal) => false,
            Some(Admission::Exclusive) => true,
            Some(Admission::Refused) => return Err(Reason::Quarantined),
            None => return Err(Reason::Suspected),
        };
        let entry = QueueEntry {
            attempt: submission.attempt,
            customer: self.queue.register_customer(&submission.customer, 1),
            deadline_ms: submission.deadline_ms,
            dispatch_by_ms: submission.dispatch_by_ms,
            estimate_ms: submission.estimate_ms,
            exclusive,
        };
        self.push(key, entry, submission.fingerprint, now_ms)
    }

    pub(super) fn push(
        &mut self,
        key: AttemptKey,
        entry: QueueEntry,
        fingerprint: Digest,
        now_ms: u64,
    ) -> Result<(), Reason> {
        let pushed = self.queue.push(now_ms, entry)?;
        let probes_sent = self.probes_sent;
        let waiting = AcceptedAttempt {
            attempt: entry.attempt,
            fingerprint,
            queue_key: pushed.key,
            probes_sent,
        };
        self.waiting.insert(key, waiting);
        self.keys_by_queue_entry.insert(pushed.key, key);
        if let Some(evicted) = pushed.evicted {
            self.refuse_dropped(evicted, now_ms);
        }
        Ok(())
    }

    pub(super) fn running_fingerprints(&self) -> Vec<Digest> {
        fingerprints(&self.calls)
    }
}

pub(super) fn fingerprints(calls: &FastMap<AttemptKey, RunningCall>) -> Vec<Digest> {
    calls.values().map(|it| it.accepted.fingerprint).collect()
}

fn call_end(result: &CallResult) -> CallEnd {
    match result {
        CallResult::Completed { .. } => CallEnd::Completed,
        CallResult::Rejected { .. } => CallEnd::Failed,
        CallResult::NotConnected | CallResult::Lost | CallResult::Cancelled => CallEnd::Abandoned,
    }
}
