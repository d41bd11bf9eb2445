//! Refusals for lack of memory at the model upstreams, and the metrics of that memory.

use std::sync::atomic::{AtomicU64, Ordering};

use log::warn;
use yuccatrail_core::upstreams::SelectionCriteria;

use crate::relay::{
    metrics::ServiceLabels,
    request::{CallerRequest, Refusal},
    state::Relay,
};

/// Retry-After of a request that is larger than any upstream's room, in milliseconds; only another
/// deployment can serve it.
const TOO_LARGE_RETRY_MS: u64 = 60_000;
/// Interval at which the state of the memory is logged while requests are refused, in milliseconds. Each
/// refusal has a line of its own without it.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Time of the last line on the state of the memory, in milliseconds since the start of the relay.
static LOGGED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the refusal of a request that no model upstream has room for; none if the memory is not the
/// reason why no upstream takes it.
pub(crate) fn refusal(
    relay: &Relay,
    request: &CallerRequest,
    criteria: &SelectionCriteria<'_>,
) -> Option<Refusal> {
    let now_ms = relay.now_ms();
    let shortage = relay.upstreams().memory_shortage(criteria, now_ms)?;
    let labels = ServiceLabels { service: request.service.to_string() };
    relay.metrics.memory_refusals.get_or_create(&labels).inc();
    let logged_ms = LOGGED_MS.load(Ordering::Relaxed);
    if logged_ms == 0 || now_ms >= logged_ms + LOG_INTERVAL_MS {
        LOGGED_MS.store(now_ms, Ordering::Relaxed);
        let uses = relay.upstreams().memory_use(now_ms);
        for used in uses {
            warn!(
                service:% = used.service,
                held_tokens = used.held_tokens,
                share_tokens = used.share_tokens,
                report_age_ms = used.report_age_ms,
                needed_tokens = criteria.tokens.map_or(0, |it| it.tokens()),
                is_too_large = shortage.is_too_large,
                wait_ms = shortage.wait_ms;
                "no model upstream has room for a request"
            );
        }
    }
    if shortage.is_too_large {
        return Some(Refusal::busy("request_exceeds_model_memory", TOO_LARGE_RETRY_MS));
    }
    Some(Refusal::busy("model_memory_full", shortage.wait_ms))
}

/// Updates the metrics of the memory.
pub(crate) fn update_metrics(relay: &Relay) {
    let now_ms = relay.now_ms();
    let uses = relay.upstreams().memory_use(now_ms);
    for used in uses {
        let labels = ServiceLabels { service: used.service.to_string() };
        let metrics = &relay.metrics;
        metrics.memory_held_tokens.get_or_create(&labels).set(used.held_tokens as i64);
        metrics.memory_share_tokens.get_or_create(&labels).set(used.share_tokens as i64);
        metrics.memory_report_age_ms.get_or_create(&labels).set(used.report_age_ms as i64);
    }
}
