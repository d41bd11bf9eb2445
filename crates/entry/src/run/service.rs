//! A plain service call: one stage, passed through as it is.

use yuccatrail_core::{
    document::{Document, Service},
    ids::StageIndex,
    outcome::{Reason, Refusal},
};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{
    RequestContext,
    attempt::Output,
    stage::{self, StageWork},
};
use crate::entry::Entry;

/// Runs a service call to its complete output.
///
/// # Errors
///
/// Returns a refusal that covers all attempts.
pub(crate) async fn run(
    entry: &Entry,
    document: &Document,
    service: &Service,
    request: &RequestContext,
    idempotent: bool,
    call: UpstreamCall,
) -> Result<Output, Refusal> {
    let Some(pool) = document.pool(&service.pool) else {
        return Err(Refusal::not_run(Reason::NoConfiguration, 0));
    };
    let work =
        StageWork { index: StageIndex(0), pool, idempotent, estimate_ms: pool.estimate_ms, call };
    stage::run(entry, request, work, |_| {}).await
}
