//! Retries of requests, which draw on the limit that all entries share.

use log::info;
use yuccatrail_core::retry_share::RetryCause;

use crate::relay::{metrics::RetryLabels, request::CallerRequest, state::Relay};

/// Takes one retry from the service's retry budget; tells whether the budget allowed it.
///
/// Every call beyond the first one that has reached an upstream has to pass here, whichever way leads
/// to it.
pub(crate) fn take_retry(relay: &Relay, request: &CallerRequest, cause: RetryCause) -> bool {
    let is_allowed = relay.retries().take(&request.service, relay.now_ms());
    if is_allowed {
        let (service, cause) = (request.service.to_string(), cause.to_string());
        relay.metrics.retries.get_or_create(&RetryLabels { service, cause }).inc();
    } else {
        info!(id:% = request.id, service:% = request.service, cause:% = cause; "retry budget exhausted");
    }
    is_allowed
}
