//! Definitions of the tarpc services of entries and agents.

use crate::messages::{
    AttemptReply, CancelRequest, ReadRequest, SubmitRequest, SyncReply, SyncRequest,
};

/// Calls that an entry accepts from other entries.
#[tarpc::service]
pub trait Peer {
    /// Exchanges control state, instance list and strikes.
    async fn sync(request: SyncRequest) -> SyncReply;
}

/// Calls that an agent accepts from entries.
#[tarpc::service]
pub trait Agent {
    /// Exchanges control state and strikes.
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Submits an attempt and waits for its first output.
    async fn submit(request: SubmitRequest) -> AttemptReply;
    /// Reads the output of an attempt from a sequence number on, and waits if there is none yet.
    async fn read(request: ReadRequest) -> AttemptReply;
    /// Cancels an attempt; a running call is aborted only if it is idempotent.
    async fn cancel(request: CancelRequest) -> AttemptReply;
}
