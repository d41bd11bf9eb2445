//! tarpc services of entries and agents.

use crate::messages::{
    AttemptReply, CancelRequest, ReadRequest, SubmitRequest, SyncReply, SyncRequest,
};

/// Calls that every process of the system answers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges control state.
    async fn sync(request: SyncRequest) -> SyncReply;
}

/// Calls that an agent answers.
#[tarpc::service]
pub trait Agent {
    /// Exchanges control state.
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Runs an attempt and returns its first output.
    async fn submit(request: SubmitRequest) -> AttemptReply;
    /// Reads an attempt's output from a sequence number on.
    async fn read(request: ReadRequest) -> AttemptReply;
    /// Cancels an attempt.
    async fn cancel(request: CancelRequest) -> AttemptReply;
}
