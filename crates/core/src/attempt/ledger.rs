//! Records of the attempts that were submitted to one incarnation of an agent.
//!
//! The ledger reports reliably whether an attempt was dispatched, in bounded memory. It depends on
//! one invariant that the entries maintain: the dispatch limit of an attempt is set once, when the
//! attempt is created, and every submit and cancel for it carries the same limit. Consequences:
//!
//! - The record of a dispatched attempt is kept until the retention period after its dispatch limit
//!   has passed. A submit or cancel without a record that arrives before then names an attempt that
//!   this incarnation has never dispatched, so `NotRun` is correct; one that arrives later is
//!   answered with `Unknown`.
//! - A tombstone, the record of an attempt that was refused or cancelled before its dispatch, is
//!   kept at least until the dispatch limit of the attempt. Afterwards the limit itself causes the
//!   refusal, so evicting the tombstone allows no dispatch.
//! - An attempt whose limit lies beyond the dispatch window, and any new attempt while the ledger
//!   is full, gets `Unknown` and no record, because no lasting guarantee could be given for it.
//!
//! The ledger has no state of earlier incarnations of the agent. A submit or cancel addressed to
//! another incarnation must be answered with `Unknown` and never reach the ledger.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use slotmap::SlotMap;

use crate::{
    FastMap,
    attempt::{
        AttemptFailure, AttemptKey, AttemptLookup, CancelResult, Completion, DispatchCheck,
        SubmitResult,
        record::{Record, RecordState},
    },
    ids::AttemptId,
    outcome::{Reason, Refusal, Usage},
    sabotage::{Mechanisms, Sabotage},
};

/// Limits of an [`AttemptLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time for which the record of an ended attempt is kept, in milliseconds.
    pub retention_ms: u64,
    /// Longest time from a submit or cancel to the dispatch limit that it carries, in milliseconds;
    /// attempts with a later limit are not recorded.
    pub dispatch_window_ms: u64,
    /// Maximum number of records, including tombstones.
    pub max_records: usize,
    /// Maximum total output kept for ended attempts, in bytes; the oldest output is discarded
    /// first, and the newest is always kept.
    pub max_ended_output_bytes: usize,
}

/// Records of the attempts that were submitted to one incarnation of an agent.
#[derive(Debug)]
pub struct AttemptLedger {
    limits: LedgerLimits,
    records: SlotMap<AttemptKey, Record>,
    by_attempt: FastMap<AttemptId, AttemptKey>,
    /// Records of ended and refused attempts by the time until which they are kept, in
    /// milliseconds.
    evictions: BTreeSet<(u64, AttemptKey)>,
    /// Ended attempts, oldest first, whose output may still be kept.
    ended_outputs: VecDeque<AttemptKey>,
    ended_output_bytes: usize,
    now_ms: u64,
    mechanisms: Mechanisms,
}

impl AttemptLedger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            by_attempt: FastMap::default(),
            evictions: BTreeSet::new(),
            ended_outputs: VecDeque::new(),
            ended_output_bytes: 0,
            now_ms: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates an empty ledger with one safety mechanism disabled.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(limits: LedgerLimits, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(limits) }
    }

    /// Records an attempt as queued, or returns the record that it already has.
    ///
    /// A queued attempt stays recorded until it is dispatched or refused. Every refusal has to go
    /// through [`refuse`](Self::refuse), so that a late duplicate of the submit finds the
    /// tombstone.
    pub fn submit(&mut self, attempt: AttemptId, dispatch_by_ms: u64, now_ms: u64) -> SubmitResult {
        self.advance_clock(now_ms);
        if let Some(&key) = self.by_attempt.get(&attempt)
            && self.mechanisms.has(Sabotage::DeduplicateSubmits)
        {
            return match self.records[key].state {
                RecordState::NotRun(refusal) => SubmitResult::NotRun(refusal),
                _ => SubmitResult::Duplicate(key),
            };
        }
        if self.may_have_been_evicted(dispatch_by_ms) {
            return SubmitResult::Unknown;
        }
        if self.now_ms > dispatch_by_ms {
            return SubmitResult::NotRun(Refusal::not_run(Reason::DispatchExpired, 0));
        }
        if !self.can_record(dispatch_by_ms) {
            return SubmitResult::Unknown;
        }
        SubmitResult::Queued(self.insert(attempt, dispatch_by_ms, RecordState::Queued))
    }

    /// Cancels an attempt, including one whose submit has not arrived yet.
    pub fn cancel(&mut self, attempt: AttemptId, dispatch_by_ms: u64, now_ms: u64) -> CancelResult {
        self.advance_clock(now_ms);
        let cancelled = Refusal::not_run(Reason::Cancelled, 0);
        if let Some(&key) = self.by_attempt.get(&attempt) {
            return match self.records[key].state {
                RecordState::Queued => {
                    self.refuse(key, cancelled, now_ms);
                    CancelResult::NotRun(cancelled)
                }
                RecordState::Dispatched => CancelResult::Running(key),
                RecordState::Completed(_) | RecordState::Failed(_) => CancelResult::Ended(key),
                RecordState::NotRun(refusal) => CancelResult::NotRun(refusal),
            };
        }
        if self.may_have_been_evicted(dispatch_by_ms) {
            return CancelResult::Unknown;
        }
        if self.now_ms > dispatch_by_ms {
            return CancelResult::NotRun(cancelled);
        }
        if !self.can_record(dispatch_by_ms) {
            return CancelResult::Unknown;
        }
        if self.mechanisms.has(Sabotage::Tombstone) {
            let key = self.insert(attempt, dispatch_by_ms, RecordState::NotRun(cancelled));
            self.schedule_tombstone_eviction(key);
        }
        CancelResult::NotRun(cancelled)
    }

    /// Marks a queued attempt as dispatched if it may be sent to the upstream now.
    ///
    /// `now_ms` has to be read immediately before the call, because the process may have been
    /// paused since the attempt was taken from the queue.
    pub fn begin_dispatch(&mut self, key: AttemptKey, now_ms: u64) -> DispatchCheck {
        self.advance_clock(now_ms);
        let now_ms = self.now_ms;
        let enforces_limit = self.mechanisms.has(Sabotage::DispatchLimit);
        let Some(record) = self.records.get_mut(key) else {
            return DispatchCheck::AlreadyDispatched;
        };
        match record.state {
            RecordState::Queued if enforces_limit && now_ms > record.dispatch_by_ms => {
                let expired = Refusal::not_run(Reason::DispatchExpired, 0);
                self.refuse(key, expired, now_ms);
                DispatchCheck::NotRun(expired)
            }
            RecordState::Queued => {
                record.state = RecordState::Dispatched;
                DispatchCheck::Dispatch
            }
            RecordState::NotRun(refusal) => DispatchCheck::NotRun(refusal),
            _ => DispatchCheck::AlreadyDispatched,
        }
    }

    /// Turns a queued attempt into a tombstone; returns `false` if it was not queued.
    pub fn refuse(&mut self, key: AttemptKey, refusal: Refusal, now_ms: u64) -> bool {
        self.advance_clock(now_ms);
        let Some(record) = self.records.get_mut(key) else { return false };
        if !matches!(record.state, RecordState::Queued) {
            return false;
        }
        record.state = RecordState::NotRun(refusal);
        self.schedule_tombstone_eviction(key);
        true
    }

    /// Appends a chunk to the output of a running attempt; returns `false` if it is not running.
    pub fn push_chunk(&mut self, key: AttemptKey, chunk: Bytes) -> bool {
        let Some(record) = self.running_record(key) else { return false };
        record.output_bytes += chunk.len();
        record.chunks.push(chunk);
        true
    }

    /// Ends a running attempt with a complete response; returns `false` if it is not running.
    pub fn complete(
        &mut self,
        key: AttemptKey,
        status: u16,
        content_type: Option<String>,
        usage: Usage,
        now_ms: u64,
    ) -> bool {
        let Some(record) = self.running_record(key) else { return false };
        let chunk_count = record.chunks.len() as u64;
        record.state =
            RecordState::Completed(Completion { status, content_type, chunk_count, usage });
        self.on_ended(key, now_ms);
        true
    }

    /// Ends a running attempt without a complete response; returns `false` if it is not running.
    pub fn fail(&mut self, key: AttemptKey, failure: AttemptFailure, now_ms: u64) -> bool {
        let Some(record) = self.running_record(key) else { return false };
        record.state = RecordState::Failed(failure);
        self.on_ended(key, now_ms);
        true
    }

    /// Returns the state of an attempt and its output from chunk `from_sequence` on.
    ///
    /// A page contains at most `max_bytes` bytes, or a single larger chunk.
    pub fn read(&self, attempt: AttemptId, from_sequence: u64, max_bytes: usize) -> AttemptLookup {
        let Some(&key) = self.by_attempt.get(&attempt) else {
            if !self.mechanisms.has(Sabotage::UnknownAfterEviction) {
                return AttemptLookup::NotRun(Refusal::not_run(Reason::UnknownAttempt, 0));
            }
            return AttemptLookup::Unknown;
        };
        self.records[key].lookup(from_sequence, max_bytes)
    }

    /// Returns the key of an attempt's record.
    pub fn key(&self, attempt: AttemptId) -> Option<AttemptKey> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns the number of records, including tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records whose retention period has ended.
    pub fn evict(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        while let Some(&(keep_until_ms, key)) = self.evictions.first() {
            if keep_until_ms >= self.now_ms {
                break;
            }
            self.evictions.pop_first();
            self.discard_output(key);
            if let Some(record) = self.records.remove(key) {
                self.by_attempt.remove(&record.attempt);
            }
        }
        while self.ended_outputs.front().is_some_and(|it| !self.records.contains_key(*it)) {
            self.ended_outputs.pop_front();
        }
    }

    /// Advances the ledger's clock, which never goes back when callers pass times out of order.
    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Returns whether the record of a dispatched attempt with this limit may have been evicted.
    fn may_have_been_evicted(&self, dispatch_by_ms: u64) -> bool {
        self.now_ms > dispatch_by_ms.saturating_add(self.limits.retention_ms)
            && self.mechanisms.has(Sabotage::UnknownAfterEviction)
    }

    fn can_record(&self, dispatch_by_ms: u64) -> bool {
        let window_end_ms = self.now_ms.saturating_add(self.limits.dispatch_window_ms);
        dispatch_by_ms <= window_end_ms && self.records.len() < self.limits.max_records
    }

    fn insert(
        &mut self,
        attempt: AttemptId,
        dispatch_by_ms: u64,
        state: RecordState,
    ) -> AttemptKey {
        let key = self.records.insert(Record::new(attempt, dispatch_by_ms, state));
        self.by_attempt.insert(attempt, key);
        key
    }

    fn running_record(&mut self, key: AttemptKey) -> Option<&mut Record> {
        let record = self.records.get_mut(key)?;
        matches!(record.state, RecordState::Dispatched).then_some(record)
    }

    fn schedule_tombstone_eviction(&mut self, key: AttemptKey) {
        let mut keep_until_ms = self.now_ms.saturating_add(self.limits.retention_ms);
        if self.mechanisms.has(Sabotage::TombstoneRetention) {
            keep_until_ms = keep_until_ms.max(self.records[key].dispatch_by_ms);
        }
        self.evictions.insert((keep_until_ms, key));
    }

    fn on_ended(&mut self, key: AttemptKey, now_ms: u64) {
        self.advance_clock(now_ms);
        let record = &self.records[key];
        // Retention starts no earlier than the dispatch limit, see the module documentation.
        let end_ms = self.now_ms.max(record.dispatch_by_ms);
        let output_bytes = record.output_bytes;
        self.evictions.insert((end_ms.saturating_add(self.limits.retention_ms), key));
        self.ended_outputs.push_back(key);
        self.ended_output_bytes += output_bytes;
        // The newest output is always kept; otherwise a response above the limit could never be
        // read.
        while self.ended_output_bytes > self.limits.max_ended_output_bytes
            && self.ended_outputs.len() > 1
        {
            let Some(oldest) = self.ended_outputs.pop_front() else { break };
            self.discard_output(oldest);
        }
    }

    fn discard_output(&mut self, key: AttemptKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        let has_ended = matches!(record.state, RecordState::Completed(_) | RecordState::Failed(_));
        if !has_ended || record.output_discarded {
            return;
        }
        record.output_discarded = true;
        record.chunks = Vec::new();
        self.ended_output_bytes -= record.output_bytes;
    }
}
