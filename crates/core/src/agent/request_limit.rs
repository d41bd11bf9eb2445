//! Limit that the upstream states on its requests.

use super::core::AgentCore;
use crate::{
    outcome::Reason,
    request_limit::{LimitChange, LimitShare},
};

impl AgentCore {
    /// Applies what a response of the upstream states of its request limit, where the request was sent at
    /// `sent_ms`; `stated_per_s` is none if it states no limit. Returns the change.
    ///
    /// Queued attempts are refused when a limit comes into force, since other upstreams may take them.
    pub fn observe_request_limit(
        &mut self,
        stated_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let was_limited = self.is_request_limited();
        let change = self.request_limit.observe(stated_per_s, sent_ms, now_ms);
        if !was_limited && self.is_request_limited() {
            self.refuse_queued(Reason::Busy, now_ms);
        }
        change
    }

    pub(super) fn is_request_limited(&self) -> bool {
        self.request_limit.in_force().is_some()
    }

    /// Returns the time until the limit permits the next request, in milliseconds.
    pub(super) fn limit_wait_ms(&self, now_ms: u64) -> u64 {
        #[cfg(feature = "sabotage")]
        if self.skips_request_limit {
            return 0;
        }
        self.request_limit.wait_ms(LimitShare::Sole, now_ms).unwrap_or(0)
    }
}
