//! Execution of requests: pipeline stages, service calls, attempts and claims.

pub(crate) mod attempt;
pub(crate) mod in_flight;
pub(crate) mod claim;
pub(crate) mod pipeline;
pub(crate) mod service;
pub(crate) mod stage;
pub(crate) mod stage_call;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use yuccatrail_core::{
    ids::{Digest, RequestId},
    outcome::{Execution, Refusal, Usage},
};

/// Channel that receives the chunks of a streamed stage, each once and in order.
pub(crate) type ChunkSink = UnboundedSender<Bytes>;

/// Properties of a caller's request that its execution needs.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// Identifier of the request, returned to the caller.
    pub(crate) id: RequestId,
    /// Name of the requested pipeline or service.
    pub(crate) target: String,
    /// Customer on whose behalf the request is made.
    pub(crate) customer: String,
    /// Digest of the customer, method, target and body; copies of a request have the same one.
    pub(crate) fingerprint: Digest,
    /// End of the deadline on the entry's clock, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// A stage or attempt that did not complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// Refusal to report to the caller.
    pub(crate) refusal: Refusal,
    /// Resources consumed by the attempt, if known.
    pub(crate) usage: Option<Usage>,
    /// Whether output had already been received and passed on.
    pub(crate) delivered: bool,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, usage: None, delivered: false }
    }
}

/// Adjusts the refusal of a stage to the whole request: with completed earlier stages, the request
/// has been run at least in part.
pub(crate) fn with_completed_stages(refusal: Refusal, completed: usize) -> Refusal {
    if completed == 0 {
        return refusal;
    }
    Refusal { execution: refusal.execution.and(Execution::Failed), ..refusal }
}
