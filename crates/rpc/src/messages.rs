//! Messages that entries and agents exchange.

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

/// Asks a peer for newer control state and tells it what the sender holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Process that asks.
    pub from: Incarnation,
    /// Versions that the sender holds.
    pub versions: Versions,
    /// Newer state that the receiver is known to lack.
    pub update: ControlUpdate,
    /// Age of the sender's control state.
    pub ages: Ages,
    /// The receiver's last reply, after which this request was made.
    pub echo: Option<Echo>,
    /// Strikes against requests that the receiver may not know yet.
    pub strikes: Vec<Strike>,
    /// Whether the sender's instance list shows the receiver's upstream as leaving.
    pub is_listed_leaving: bool,
    /// Instance list, for an entry that has said that it lacks one.
    pub instances: Vec<InstanceRecord>,
}

/// Upper bounds on the age of a process's control state; none where it was never confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Age of the environment document, in milliseconds.
    pub config_ms: Option<u64>,
    /// Age of the operational state, in milliseconds.
    pub operations_ms: Option<u64>,
}

/// Names the reply that a request follows, so that the receiver can tell how old the request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The run of the process that replied.
    pub incarnation: Incarnation,
    /// Time of the reply on that process's clock, in milliseconds since its start.
    pub now_ms: u64,
}

/// Answers a [`SyncRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// State of the answering process.
    pub feedback: Feedback,
    /// Newer state that the sender lacked.
    pub update: ControlUpdate,
    /// Age of the answering process's control state.
    pub ages: Ages,
    /// Whether the sender is an entry without an instance list from the platform.
    pub lacks_instances: bool,
    /// Whether the answering process asks for another exchange at once, with the state that it
    /// lacks, because it has seen newer versions or needs a confirmation.
    #[serde(rename = "again")]
    pub sync_again: bool,
}

/// State of an answering process, which every reply carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Feedback {
    /// The run of the process that answers.
    pub incarnation: Incarnation,
    /// Monotonic clock of the process that answers, in milliseconds since its start.
    pub now_ms: u64,
    /// Versions of the control state that the process holds.
    pub versions: Versions,
    /// Load of the upstream.
    pub load: LoadReport,
    /// Recent strikes against requests.
    pub strikes: Vec<Strike>,
}

/// Asks an agent to run one attempt on its upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Versions that the entry holds.
    pub versions: Versions,
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// The run of the agent that the entry chose; another run refuses the attempt.
    pub agent: Incarnation,
    /// Pool that the entry expects the upstream to belong to.
    pub pool: String,
    /// Customer on whose behalf the call is made.
    pub customer: String,
    /// Digest of the customer, target and body of the request.
    pub fingerprint: Digest,
    /// Strikes against the request that the entry knows; with any, the request has to run alone.
    pub strikes: Vec<Strike>,
    /// Whether the call may be repeated, and so be cut when it is cancelled.
    pub idempotent: bool,
    /// Latest time of dispatch on the agent's clock, in milliseconds since its start.
    pub dispatch_by_ms: u64,
    /// End of the request's deadline on the agent's clock, in milliseconds since its start.
    pub deadline_ms: u64,
    /// Expected run time at the upstream, in milliseconds.
    pub estimate_ms: u64,
    /// The HTTP call for the upstream.
    pub call: UpstreamCall,
    /// Time for which the agent may hold the reply while it waits for output, in milliseconds.
    pub wait_ms: u64,
}

/// HTTP call that an agent makes to its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body, if there is one.
    pub content_type: Option<String>,
    /// Key that the upstream may use to recognize a repeated call.
    pub idempotency_key: Option<String>,
    /// Body of the call.
    pub body: Bytes,
    /// Form of the expected answer.
    pub response: ResponseForm,
}

/// Form of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseForm {
    /// One body, delivered whole as a single chunk.
    Whole,
    /// Server-sent events that end with `[DONE]`; each event's data is a chunk.
    Events,
}

/// Answers a submit, read or cancel call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptReply {
    /// State of the agent.
    pub feedback: Feedback,
    /// Control state that the entry lacked.
    pub update: ControlUpdate,
    /// The attempt that the reply describes.
    pub attempt: AttemptId,
    /// What the agent knows about the attempt.
    pub state: AttemptState,
}

/// What an agent knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The attempt was accepted; output from the requested sequence number on.
    Accepted(OutputPage),
    /// The attempt was not passed to the upstream and never will be.
    NotRun(Refusal),
    /// The entry holds older control state than the agent and has to take the update first.
    StaleVersions,
    /// The agent has no record of the attempt and cannot tell whether it ran.
    Unknown,
}

/// Asks for an attempt's output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Versions that the entry holds.
    pub versions: Versions,
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the agent that accepted the attempt.
    pub agent: Incarnation,
    /// Sequence number of the first chunk that the entry lacks.
    pub from_sequence: u64,
    /// Time for which the agent may hold the reply while it waits for output, in milliseconds.
    pub wait_ms: u64,
}

/// Cancels an attempt; one that was not dispatched is then never dispatched.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Versions that the entry holds.
    pub versions: Versions,
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the agent that was handed the attempt.
    pub agent: Incarnation,
    /// Latest time of dispatch, exactly as the submit for the attempt states it.
    pub dispatch_by_ms: u64,
}
