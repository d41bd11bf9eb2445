//! Requests and replies among entries and agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
pub use yuccatrail_core::{
    attempt::{AttemptFailure, Completion, OutputPage, Progress},
    quarantine::Strike,
};
use yuccatrail_core::{
    control::{ControlUpdate, Versions},
    ids::{AttemptId, Digest, Incarnation},
    membership::InstanceRecord,
    outcome::Refusal,
    routing::LoadReport,
};

/// Announces the control state that the sender holds and asks the receiver for newer state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Incarnation of the sending process.
    pub from: Incarnation,
    /// Versions of the control state that the sender holds.
    pub versions: Versions,
    /// Newer control state that the receiver lacks, as far as the sender knows.
    pub update: ControlUpdate,
    /// Ages of the sender's control state.
    pub ages: Ages,
    /// The receiver's last reply before this request was created, if there was one.
    pub echo: Option<Echo>,
    /// Strikes against requests that the receiver may not know of yet.
    pub strikes: Vec<Strike>,
    /// Whether the sender's instance list shows the receiver's upstream as leaving.
    pub is_listed_leaving: bool,
    /// Instance list, if the receiver is an entry that reported that it lacks one.
    pub instances: Vec<InstanceRecord>,
}

/// Upper bounds on the age of a process's control state; `None` if it was never confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Age of the environment document, in milliseconds.
    pub config_ms: Option<u64>,
    /// Age of the operational state, in milliseconds.
    pub operations_ms: Option<u64>,
}

/// Identifies the receiver's last reply before a request, so that the receiver can bound the age of
/// the request by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the process that replied.
    pub incarnation: Incarnation,
    /// Time of the reply by the clock of that process, in milliseconds since its start.
    pub now_ms: u64,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// State of the replying process.
    pub feedback: Feedback,
    /// Newer control state that the sender of the request lacks.
    pub update: ControlUpdate,
    /// Ages of the replying process's control state.
    pub ages: Ages,
    /// Whether the replying process is an entry that has no instance list from the platform.
    pub lacks_instances: bool,
    /// Whether the replying process asks for another exchange immediately, with the state that it
    /// lacks, because it has seen newer versions or needs a confirmation.
    #[serde(rename = "again")]
    pub sync_again: bool,
}

/// State of the replying process, which is part of every reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Feedback {
    /// Incarnation of the replying process.
    pub incarnation: Incarnation,
    /// Time of the reply by the monotonic clock of the replying process, in milliseconds since its
    /// start.
    pub now_ms: u64,
    /// Versions of the control state that the replying process holds.
    pub versions: Versions,
    /// Load of the agent's upstream.
    pub load: LoadReport,
    /// Recent strikes against requests that the replying process knows of.
    pub strikes: Vec<Strike>,
}

/// Asks an agent to run one attempt on its upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Versions of the control state that the entry holds.
    pub versions: Versions,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the entry chose; another incarnation refuses the attempt.
    pub agent: Incarnation,
    /// Pool that the upstream belongs to, as far as the entry knows.
    pub pool: String,
    /// Customer on whose behalf the call is made.
    pub customer: String,
    /// Digest of the customer, method, target and body of the request.
    pub fingerprint: Digest,
    /// Strikes against the request that the entry knows of; if there are any, the request has to
    /// run exclusively.
    pub strikes: Vec<Strike>,
    /// Whether the call is idempotent, so that it may be aborted when the attempt is cancelled.
    pub idempotent: bool,
    /// Latest time of dispatch to the upstream by the agent's clock, in milliseconds since the
    /// agent's start.
    pub dispatch_by_ms: u64,
    /// Deadline of the request by the agent's clock, in milliseconds since the agent's start.
    pub deadline_ms: u64,
    /// Expected run time of the call at the upstream, in milliseconds.
    pub estimate_ms: u64,
    /// HTTP request to the upstream.
    pub call: UpstreamCall,
    /// Longest time for which the agent delays the reply while there is no output, in milliseconds.
    pub wait_ms: u64,
}

/// HTTP request that an agent sends to its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `Content-Type` of the body, if the caller stated one.
    pub content_type: Option<String>,
    /// Value of the `idempotency-key` header, by which the upstream may recognise a repeated call.
    pub idempotency_key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Form of the expected response.
    pub response: ResponseForm,
}

/// Form of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseForm {
    /// A complete body, delivered as a single chunk.
    Whole,
    /// Server-sent events that end with `[DONE]`; the data of each event is one chunk.
    Events,
}

/// Reply to a submit, read or cancel call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptReply {
    /// State of the agent.
    pub feedback: Feedback,
    /// Control state that the entry lacks; empty unless the entry's state is stale.
    pub update: ControlUpdate,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// State of the attempt.
    pub state: AttemptState,
}

/// State of an attempt as far as the agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The attempt was accepted; contains the output from the requested sequence number on.
    Accepted(OutputPage),
    /// The attempt was not dispatched to the upstream and never will be.
    NotRun(Refusal),
    /// The entry and the agent hold different versions of the control state. The entry has to apply
    /// the update of this reply, or send its own newer state, before it submits again.
    StaleVersions,
    /// The agent has no record of the attempt, so that it is not known whether it ran.
    Unknown,
}

/// Asks for the output of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Versions of the control state that the entry holds.
    pub versions: Versions,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that accepted the attempt.
    pub agent: Incarnation,
    /// Sequence number of the first chunk that the entry lacks.
    pub from_sequence: u64,
    /// Longest time for which the agent delays the reply while there is no output, in milliseconds.
    pub wait_ms: u64,
}

/// Cancels an attempt; an attempt that is not dispatched yet never will be.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Versions of the control state that the entry holds.
    pub versions: Versions,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt was submitted to.
    pub agent: Incarnation,
    /// Latest time of dispatch, with the same value as in the [`SubmitRequest`] of the attempt.
    pub dispatch_by_ms: u64,
}
