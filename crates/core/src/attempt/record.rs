//! Record of one attempt at an agent, and the results of ledger operations.

use bytes::Bytes;

use crate::{
    attempt::{AttemptFailure, Completion, OutputPage, Progress},
    ids::AttemptId,
    outcome::Refusal,
};

slotmap::new_key_type! {
    /// Identifies a record in an [`AttemptLedger`](super::AttemptLedger).
    pub struct AttemptKey;
}

/// Result of a submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// The attempt is new and was recorded as queued.
    Queued(AttemptKey),
    /// The attempt was submitted before; its record is unchanged.
    Duplicate(AttemptKey),
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// The attempt was not recorded, and it is unknown whether it ran earlier.
    Unknown,
}

/// Result of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// The attempt is running; the caller may cancel it at the upstream.
    Running(AttemptKey),
    /// The attempt was dispatched and has ended.
    Ended(AttemptKey),
    /// It is unknown whether the attempt ran.
    Unknown,
}

/// Result of [`begin_dispatch`](super::AttemptLedger::begin_dispatch).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchCheck {
    /// The attempt has to be dispatched now; returned once for each attempt.
    Dispatch,
    /// The attempt must not be dispatched and never will be.
    NotRun(Refusal),
    /// The attempt was dispatched before, or its record was evicted.
    AlreadyDispatched,
}

/// Result of reading an attempt from the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptLookup {
    /// The attempt was accepted; contains its output from the requested sequence number on.
    Accepted(OutputPage),
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// There is no record, or its output was discarded.
    Unknown,
}

#[derive(Clone, Debug)]
pub(crate) enum RecordState {
    Queued,
    Dispatched,
    Completed(Completion),
    Failed(AttemptFailure),
    NotRun(Refusal),
}

#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) attempt: AttemptId,
    pub(crate) dispatch_by_ms: u64,
    pub(crate) state: RecordState,
    pub(crate) chunks: Vec<Bytes>,
    /// Total size of the chunks that the attempt produced, also after they were discarded.
    pub(crate) output_bytes: usize,
    pub(crate) output_discarded: bool,
}

impl Record {
    pub(crate) fn new(attempt: AttemptId, dispatch_by_ms: u64, state: RecordState) -> Self {
        Self {
            attempt,
            dispatch_by_ms,
            state,
            chunks: Vec::new(),
            output_bytes: 0,
            output_discarded: false,
        }
    }

    pub(crate) fn lookup(&self, from_sequence: u64, max_bytes: usize) -> AttemptLookup {
        if let RecordState::NotRun(refusal) = self.state {
            return AttemptLookup::NotRun(refusal);
        }
        if self.output_discarded {
            return AttemptLookup::Unknown;
        }
        AttemptLookup::Accepted(self.page(from_sequence, max_bytes))
    }

    /// Returns a page of at most `max_bytes` bytes, or a single larger chunk.
    fn page(&self, from_sequence: u64, max_bytes: usize) -> OutputPage {
        let start = usize::try_from(from_sequence).unwrap_or(usize::MAX).min(self.chunks.len());
        let mut chunks = Vec::new();
        let mut page_bytes = 0;
        for chunk in &self.chunks[start..] {
            page_bytes += chunk.len();
            if page_bytes > max_bytes && !chunks.is_empty() {
                break;
            }
            chunks.push(chunk.clone());
        }
        let is_last = start + chunks.len() == self.chunks.len();
        let progress = match &self.state {
            RecordState::Queued => Progress::Queued,
            RecordState::Completed(completion) if is_last => {
                Progress::Completed(completion.clone())
            }
            RecordState::Failed(failure) if is_last => Progress::Failed(failure.clone()),
            _ => Progress::Running,
        };
        OutputPage { first_sequence: start as u64, chunks, progress }
    }
}
