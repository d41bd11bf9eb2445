//! State that the tasks of the executor share.

use std::sync::Arc;

use log::{info, warn};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap, FastSet, agent::AgentCore, attempt::AttemptKey, ids::AttemptId,
    membership::InstanceState, request_limit::LimitChange,
};
use yuccatrail_rpc::messages::UpstreamCall;

use crate::listed::ListedState;

/// State shared by the tasks of the executor.
pub(super) struct State {
    pub(super) core: AgentCore,
    /// Calls of attempts that wait for dispatch.
    pub(super) pending_calls: FastMap<AttemptId, PendingCall>,
    /// Notifies readers of attempts that have not ended about changes.
    pub(super) notifiers: FastMap<AttemptId, Arc<Notify>>,
    /// Abort those running calls that may be aborted.
    pub(super) abort_tokens: FastMap<AttemptKey, CancellationToken>,
    /// Attempts that have ended and whose final state no entry has read yet.
    pub(super) unread: FastSet<AttemptId>,
    /// State of the upstream in the platform's instance list.
    pub(super) listed: ListedState,
    /// Whether a probe on which queued attempts wait is in progress.
    pub(super) is_probing: bool,
    /// Value of the last logged cold state.
    pub(super) logged_cold: bool,
}

impl State {
    /// Applies a change of the upstream's state in the instance list to the core.
    pub(super) fn set_listed(&mut self, change: Option<(u64, InstanceState)>, now_ms: u64) {
        let Some((version, state)) = change else { return };
        info!(version = version; "upstream listed as {state:?}");
        self.core.set_listed(version, state, now_ms);
    }

    /// Applies what a response states of the upstream's request limit to the core; see
    /// [`AgentCore::observe_request_limit`].
    pub(super) fn observe_request_limit(
        &mut self,
        stated_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        match self.core.observe_request_limit(stated_per_s, sent_ms, now_ms) {
            Some(LimitChange::Stated(per_s)) => {
                info!(per_s = per_s; "upstream states a request limit");
            }
            Some(LimitChange::Unreadable(per_s)) => {
                warn!(per_s = per_s; "upstream states a request limit that can't be read, another one is used");
            }
            Some(LimitChange::Lifted) => info!("upstream states no request limit any more"),
            None => {}
        }
    }

    /// Logs when the upstream has become cold or warm.
    pub(super) fn log_cold_change(&mut self, now_ms: u64) {
        let load = self.core.load(now_ms);
        if load.cold == self.logged_cold {
            return;
        }
        self.logged_cold = load.cold;
        let (running, limit, doubts_probes) =
            (load.running, load.limit, self.core.distrusts_probes());
        info!(cold = load.cold, running = running, limit = limit, doubts_probes = doubts_probes; "upstream's cold state changed");
    }
}

/// Call of an attempt that waits for dispatch.
pub(super) struct PendingCall {
    pub(super) call: UpstreamCall,
    /// Whether the call may be aborted at the upstream when the attempt is cancelled.
    pub(super) may_abort: bool,
}
