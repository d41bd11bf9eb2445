//! Record of one attempt in an agent, and the answers of the ledger.

use bytes::Bytes;

use crate::{
    attempt::{AttemptFailure, Completion, OutputPage, Progress},
    ids::AttemptId,
    outcome::Refusal,
};

slotmap::new_key_type! {
    /// Names a record in an [`AttemptLedger`](super::AttemptLedger).
    pub struct AttemptKey;
}

/// Answer to a submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// The attempt is new and was recorded as queued.
    Queued(AttemptKey),
    /// The attempt was submitted before; its record goes on unchanged.
    Duplicate(AttemptKey),
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// The attempt was not recorded, and whether it ran earlier is not known.
    Unknown,
}

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// The attempt runs; the caller may cancel it at the upstream.
    Running(AttemptKey),
    /// The attempt was dispatched and has ended.
    Ended(AttemptKey),
    /// Whether the attempt ran is not known.
    Unknown,
}

/// Answer to the check straight before dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchCheck {
    /// The attempt has to be dispatched now; the answer is given once for each attempt.
    Dispatch,
    /// The attempt must not be dispatched and never will be.
    NotRun(Refusal),
    /// The attempt was dispatched before, or its record is gone.
    AlreadyDispatched,
}

/// What the ledger knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptLookup {
    /// The attempt was accepted; output from the requested sequence number on.
    Accepted(OutputPage),
    /// The attempt was not dispatched and never will be.
    NotRun(Refusal),
    /// The ledger has no record, or the output is no longer kept.
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
    pub(crate) output_bytes: usize,
    pub(crate) output_dropped: bool,
}

impl Record {
    pub(crate) fn new(attempt: AttemptId, dispatch_by_ms: u64, state: RecordState) -> Self {
        Self {
            attempt,
            dispatch_by_ms,
            state,
            chunks: Vec::new(),
            output_bytes: 0,
            output_dropped: false,
        }
    }

    pub(crate) fn lookup(&self, from_sequence: u64, max_bytes: usize) -> AttemptLookup {
        if let RecordState::NotRun(refusal) = self.state {
            return AttemptLookup::NotRun(refusal);
        }
        if self.output_dropped {
            return AttemptLookup::Unknown;
        }
        AttemptLookup::Accepted(self.page(from_sequence, max_bytes))
    }

    /// Cuts a page that holds at least one chunk, if there is one, and else stays in `max_bytes`.
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
