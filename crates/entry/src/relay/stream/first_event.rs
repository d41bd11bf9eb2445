//! Time to the first event of a stream, by which slow upstreams are detected.

use std::sync::Arc;

use yuccatrail_core::upstreams::{FirstEventKey, UpstreamKey};

use crate::relay::{model::model_ms, request::CallerRequest, state::Relay};

/// A first event that is expected from an upstream; dropped if the call ends without it.
pub(super) struct FirstEvent {
    relay: Arc<Relay>,
    key: Option<FirstEventKey>,
}

impl Drop for FirstEvent {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.relay.upstreams().forget_first_event(key);
        }
    }
}

impl FirstEvent {
    /// Begins to wait for the first event of a call.
    pub(super) fn expect(
        relay: &Arc<Relay>,
        request: &CallerRequest,
        upstream: UpstreamKey,
    ) -> Self {
        let (nominal_ms, now_ms) = (model_ms(request), relay.now_ms());
        let key = relay.upstreams().await_first_event(upstream, nominal_ms, now_ms);
        Self { relay: relay.clone(), key }
    }

    /// Records that it has arrived.
    pub(super) fn arrived(mut self) {
        let now_ms = self.relay.now_ms();
        if let Some(key) = self.key.take() {
            self.relay.upstreams().record_first_event(key, now_ms);
        }
    }
}
