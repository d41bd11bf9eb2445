//! Execution of requests: stages, attempts and plain service calls.

pub(crate) mod attempt;
pub(crate) mod pipeline;
pub(crate) mod service;
pub(crate) mod stage;
pub(crate) mod stage_call;

use yuccatrail_core::ids::{Digest, RequestId};

/// One caller request while it is executed.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// Identity of the request.
    pub(crate) id: RequestId,
    /// Customer on whose behalf the request is made.
    pub(crate) customer: String,
    /// Digest of the customer, target and body.
    pub(crate) fingerprint: Digest,
    /// The caller's idempotency key.
    #[expect(dead_code)]
    pub(crate) idempotency_key: Option<String>,
    /// End of the deadline on the entry's clock, in milliseconds.
    pub(crate) deadline_ms: u64,
}
