//! Execution of requests: stages, attempts, plain service calls and claims.

pub(crate) mod attempt;
pub(crate) mod begun;
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

/// Receives the chunks of a streamed stage, each once and in order.
pub(crate) type ChunkSink = UnboundedSender<Bytes>;

/// One caller request while it is executed.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// Identity of the request.
    pub(crate) id: RequestId,
    /// Pipeline or service.
    pub(crate) target: String,
    /// Customer on whose behalf the request is made.
    pub(crate) customer: String,
    /// Digest of the customer, target and body.
    pub(crate) fingerprint: Digest,
    /// End of the deadline on the entry's clock, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// A stage or attempt that did not complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// What the caller is told.
    pub(crate) refusal: Refusal,
    /// Resources that were consumed, if known.
    pub(crate) usage: Option<Usage>,
    /// Whether output was passed on before the end.
    pub(crate) delivered: bool,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, usage: None, delivered: false }
    }
}

/// Corrects what is known about a request whose earlier stages did run.
pub(crate) fn after_stages(refusal: Refusal, completed: usize) -> Refusal {
    if completed == 0 {
        return refusal;
    }
    Refusal { execution: refusal.execution.and(Execution::Failed), ..refusal }
}
