//! Records of every attempt that one agent run was handed.
//!
//! The ledger answers truthfully whether an attempt ran, in bounded memory. It relies on one rule
//! that entries keep: an attempt's dispatch limit is set once, when the attempt is created, and every
//! submit and cancel for that attempt carries the same limit. From this follows:
//!
//! - A record of a dispatched attempt stays until the retention period after its dispatch limit has
//!   passed. A submit or cancel without a record that arrives earlier names an attempt that this run
//!   has never dispatched, so `NotRun` is true; one that arrives later is answered `Unknown`.
//! - A tombstone stays at least until the dispatch limit of its attempt. After that the limit itself
//!   refuses the attempt, so evicting the tombstone permits no dispatch.
//! - A limit further away than the dispatch window, and any attempt that finds the ledger full, gets
//!   `Unknown` without a record, because no lasting promise could be kept about it.
//!
//! The ledger knows nothing about earlier runs of the agent. A submit or cancel that names another
//! run must be answered `Unknown` and never reach the ledger.

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

/// Bounds of an [`AttemptLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time for which an ended record stays, in milliseconds.
    pub retention_ms: u64,
    /// Longest accepted distance between a submit and its dispatch limit, in milliseconds.
    pub dispatch_window_ms: u64,
    /// Largest number of records, tombstones included.
    pub max_records: usize,
    /// Total size of the output kept for ended attempts, in bytes; the oldest is dropped first and
    /// the newest is always kept.
    pub max_ended_output_bytes: usize,
}

/// Records of every attempt that one agent run was handed.
#[derive(Debug)]
pub struct AttemptLedger {
    limits: LedgerLimits,
    records: SlotMap<AttemptKey, Record>,
    by_attempt: FastMap<AttemptId, AttemptKey>,
    evictions: BTreeSet<(u64, AttemptKey)>,
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

    /// Creates an empty ledger with one safety mechanism switched off.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(limits: LedgerLimits, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(limits) }
    }

    /// Records an attempt as queued, or joins the record that it already has.
    ///
    /// A queued attempt stays recorded until it is dispatched or refused. Every refusal has to go
    /// through [`refuse`](Self::refuse), so that a late copy of the submit meets its tombstone.
    pub fn submit(&mut self, attempt: AttemptId, dispatch_by_ms: u64, now_ms: u64) -> SubmitResult {
        self.advance(now_ms);
        if let Some(&key) = self.by_attempt.get(&attempt)
            && self.mechanisms.has(Sabotage::DeduplicateSubmits)
        {
            return match self.records[key].state {
                RecordState::NotRun(refusal) => SubmitResult::NotRun(refusal),
                _ => SubmitResult::Duplicate(key),
            };
        }
        if self.is_forgotten(dispatch_by_ms) {
            return SubmitResult::Unknown;
        }
        if self.now_ms > dispatch_by_ms {
            return SubmitResult::NotRun(Refusal::not_run(Reason::DispatchExpired, 0));
        }
        if !self.has_room(dispatch_by_ms) {
            return SubmitResult::Unknown;
        }
        SubmitResult::Queued(self.insert(attempt, dispatch_by_ms, RecordState::Queued))
    }

    /// Cancels an attempt, also one whose submit has not arrived yet.
    pub fn cancel(&mut self, attempt: AttemptId, dispatch_by_ms: u64, now_ms: u64) -> CancelResult {
        self.advance(now_ms);
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
        if self.is_forgotten(dispatch_by_ms) {
            return CancelResult::Unknown;
        }
        if self.now_ms > dispatch_by_ms {
            return CancelResult::NotRun(cancelled);
        }
        if !self.has_room(dispatch_by_ms) {
            return CancelResult::Unknown;
        }
        if self.mechanisms.has(Sabotage::Tombstone) {
            let key = self.insert(attempt, dispatch_by_ms, RecordState::NotRun(cancelled));
            self.schedule_tombstone_eviction(key);
        }
        CancelResult::NotRun(cancelled)
    }

    /// Decides straight before dispatch whether a queued attempt may go to the upstream.
    ///
    /// `now_ms` has to be read immediately before the call, because the process may have been
    /// paused since the attempt was taken from the queue.
    pub fn begin_dispatch(&mut self, key: AttemptKey, now_ms: u64) -> DispatchCheck {
        self.advance(now_ms);
        let now_ms = self.now_ms;
        let checks_limit = self.mechanisms.has(Sabotage::DispatchLimit);
        let Some(record) = self.records.get_mut(key) else {
            return DispatchCheck::AlreadyDispatched;
        };
        match record.state {
            RecordState::Queued if checks_limit && now_ms > record.dispatch_by_ms => {
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

    /// Turns a queued attempt into a tombstone; returns `false` when it was not queued.
    pub fn refuse(&mut self, key: AttemptKey, refusal: Refusal, now_ms: u64) -> bool {
        self.advance(now_ms);
        let Some(record) = self.records.get_mut(key) else { return false };
        if !matches!(record.state, RecordState::Queued) {
            return false;
        }
        record.state = RecordState::NotRun(refusal);
        self.schedule_tombstone_eviction(key);
        true
    }

    /// Appends a chunk to the output of a dispatched attempt; returns `false` when it is not running.
    pub fn push_chunk(&mut self, key: AttemptKey, chunk: Bytes) -> bool {
        let Some(record) = self.running(key) else { return false };
        record.output_bytes += chunk.len();
        record.chunks.push(chunk);
        true
    }

    /// Ends a dispatched attempt with a complete answer; returns `false` when it is not running.
    pub fn complete(
        &mut self,
        key: AttemptKey,
        status: u16,
        content_type: Option<String>,
        usage: Usage,
        now_ms: u64,
    ) -> bool {
        let Some(record) = self.running(key) else { return false };
        let chunk_count = record.chunks.len() as u64;
        record.state =
            RecordState::Completed(Completion { status, content_type, chunk_count, usage });
        self.end(key, now_ms);
        true
    }

    /// Ends a dispatched attempt without a complete answer; returns `false` when it is not running.
    pub fn fail(&mut self, key: AttemptKey, failure: AttemptFailure, now_ms: u64) -> bool {
        let Some(record) = self.running(key) else { return false };
        record.state = RecordState::Failed(failure);
        self.end(key, now_ms);
        true
    }

    /// Reads what is known about an attempt, with output from `from_sequence` on.
    ///
    /// A page holds at most `max_bytes` bytes, or a single larger chunk.
    pub fn read(&self, attempt: AttemptId, from_sequence: u64, max_bytes: usize) -> AttemptLookup {
        let Some(&key) = self.by_attempt.get(&attempt) else {
            if !self.mechanisms.has(Sabotage::UnknownAfterEviction) {
                return AttemptLookup::NotRun(Refusal::not_run(Reason::UnknownAttempt, 0));
            }
            return AttemptLookup::Unknown;
        };
        self.records[key].lookup(from_sequence, max_bytes)
    }

    /// Finds the record of an attempt.
    pub fn key(&self, attempt: AttemptId) -> Option<AttemptKey> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns the number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records whose retention has ended.
    pub fn evict(&mut self, now_ms: u64) {
        self.advance(now_ms);
        while let Some(&(keep_until_ms, key)) = self.evictions.first() {
            if keep_until_ms >= self.now_ms {
                break;
            }
            self.evictions.pop_first();
            self.drop_output(key);
            if let Some(record) = self.records.remove(key) {
                self.by_attempt.remove(&record.attempt);
            }
        }
        while self.ended_outputs.front().is_some_and(|it| !self.records.contains_key(*it)) {
            self.ended_outputs.pop_front();
        }
    }

    /// Keeps time from running backwards when callers pass readings out of order.
    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Tells whether a dispatched record with this dispatch limit may have been evicted.
    fn is_forgotten(&self, dispatch_by_ms: u64) -> bool {
        self.now_ms > dispatch_by_ms.saturating_add(self.limits.retention_ms)
            && self.mechanisms.has(Sabotage::UnknownAfterEviction)
    }

    fn has_room(&self, dispatch_by_ms: u64) -> bool {
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

    fn running(&mut self, key: AttemptKey) -> Option<&mut Record> {
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

    fn end(&mut self, key: AttemptKey, now_ms: u64) {
        self.advance(now_ms);
        let record = &self.records[key];
        // The retention starts no earlier than the dispatch limit, see the module documentation.
        let end_ms = self.now_ms.max(record.dispatch_by_ms);
        let output_bytes = record.output_bytes;
        self.evictions.insert((end_ms.saturating_add(self.limits.retention_ms), key));
        self.ended_outputs.push_back(key);
        self.ended_output_bytes += output_bytes;
        // The newest output always stays, so that a large answer can be read at all.
        while self.ended_output_bytes > self.limits.max_ended_output_bytes
            && self.ended_outputs.len() > 1
        {
            let Some(oldest) = self.ended_outputs.pop_front() else { break };
            self.drop_output(oldest);
        }
    }

    fn drop_output(&mut self, key: AttemptKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        let has_ended = matches!(record.state, RecordState::Completed(_) | RecordState::Failed(_));
        if !has_ended || record.output_dropped {
            return;
        }
        record.output_dropped = true;
        record.chunks = Vec::new();
        self.ended_output_bytes -= record.output_bytes;
    }
}
