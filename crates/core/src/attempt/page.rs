//! Pages in which an agent sends the output of an attempt to an entry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::outcome::{Execution, Reason, Usage};

/// Consecutive chunks of an attempt's output, with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPage {
    /// Sequence number of the first chunk in `chunks`.
    pub first_sequence: u64,
    /// Chunks in order.
    pub chunks: Vec<Bytes>,
    /// Progress of the attempt after all of `chunks`.
    pub progress: Progress,
}

/// Progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The attempt waits in the queue of the agent.
    Queued,
    /// The attempt runs and more output may follow.
    Running,
    /// The response of the upstream is complete.
    Completed(Completion),
    /// The attempt ended without a complete response.
    Failed(AttemptFailure),
}

/// Metadata of a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response.
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
    /// HTTP status, if the upstream responded.
    pub status: Option<u16>,
    /// Resources consumed.
    pub usage: Usage,
}
