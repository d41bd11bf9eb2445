//! Output of an attempt as it travels from an agent to an entry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::outcome::{Execution, Reason, Usage};

/// Part of an attempt's output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPage {
    /// Sequence number of the first chunk in `chunks`.
    pub first_sequence: u64,
    /// Consecutive chunks.
    pub chunks: Vec<Bytes>,
    /// Progress of the attempt once all of `chunks` is taken.
    pub progress: Progress,
}

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The attempt waits in the agent.
    Queued,
    /// The attempt runs and more output may follow.
    Running,
    /// The upstream's answer is complete.
    Completed(Completion),
    /// The attempt ended without a complete answer.
    Failed(AttemptFailure),
}

/// A complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Option<String>,
    /// Number of chunks in the whole output.
    pub chunk_count: u64,
    /// Resources consumed.
    pub usage: Usage,
}

/// An attempt that was dispatched and did not complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptFailure {
    /// Why the attempt did not complete.
    pub reason: Reason,
    /// What is known about the execution.
    pub execution: Execution,
    /// HTTP status, if the upstream answered.
    pub status: Option<u16>,
    /// Resources consumed.
    pub usage: Usage,
}
