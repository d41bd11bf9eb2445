//! Execution of attempts on the upstream, whose output entries read by polling.

mod state;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use log::info;
use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap, FastSet,
    agent::{AgentCore, CallResult, Dispatch, ProbeResult, Submission},
    attempt::{AttemptLookup, Progress},
    control::{ControlUpdate, Versions},
    ids::{AttemptId, Incarnation},
};
use yuccatrail_rpc::messages::{
    Ages, AttemptReply, AttemptState, CancelRequest, Echo, Feedback, ReadRequest, SubmitRequest,
    SyncReply, SyncRequest, UpstreamCall,
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use self::state::{PendingCall, State};
use crate::{
    listed::ListedState,
    metrics::Metrics,
    upstream::{BootClient, CallError, ProbeReply, ResponseHead, UpstreamClient},
};

/// Maximum size of the output in one reply, in bytes.
const MAX_PAGE_BYTES: usize = 256 * 1024;
/// Longest delay of reporting a lost response while probes determine whether the upstream crashed.
const CRASH_DETECTION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between probes after a lost response.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which further output is collected before a reply, so that fast streams need few calls.
const COALESCE_TIME: Duration = Duration::from_millis(20);

/// Runs attempts on the agent's upstream.
pub(crate) struct Executor {
    incarnation: Incarnation,
    clock: Clock,
    upstream: UpstreamClient,
    control: Arc<SharedControl>,
    metrics: Metrics,
    state: Mutex<State>,
}

impl Executor {
    /// Creates an executor without attempts.
    pub(crate) fn new(
        incarnation: Incarnation,
        clock: Clock,
        core: AgentCore,
        upstream: UpstreamClient,
        control: Arc<SharedControl>,
        metrics: Metrics,
    ) -> Arc<Self> {
        let state = State {
            core,
            pending_calls: FastMap::default(),
            notifiers: FastMap::default(),
            abort_tokens: FastMap::default(),
            unread: FastSet::default(),
            listed: ListedState::default(),
            is_probing: false,
            logged_cold: true,
        };
        Arc::new(Self { incarnation, clock, upstream, control, metrics, state: Mutex::new(state) })
    }

    /// Exchanges control state and strikes with an entry.
    pub(crate) fn sync(self: &Arc<Self>, request: SyncRequest) -> SyncReply {
        let now_ms = self.clock.now_ms();
        let is_changed = !request.update.is_empty();
        self.control.adopt(request.update, "entry");
        let sync_again;
        {
            let mut state = self.lock();
            if is_changed {
                self.control.with(|it| state.core.set_control(it, now_ms));
            }
            let listed = state.listed.on_report(request.is_listed_leaving, now_ms);
            state.set_listed(listed, now_ms);
            state.core.merge_strikes(&request.strikes, now_ms);
            let is_up_to_date = !request.versions.has_newer_than(self.control.versions());
            if let Some(sent_ms) = self.echoed_reply_ms(request.echo)
                && let Some(age_ms) = request.ages.operations_ms
                && is_up_to_date
            {
                state.core.confirm_control(sent_ms, age_ms);
            }
            sync_again = state.core.should_sync_again(!is_up_to_date, now_ms);
            self.notify_readers(&mut state);
        }
        self.dispatch_ready();
        SyncReply {
            lacks_instances: false,
            feedback: self.feedback(),
            update: self.control.update_for(request.versions),
            ages: self.ages(),
            sync_again,
        }
    }

    /// Accepts or refuses an attempt; waits for its first output if it is accepted.
    pub(crate) async fn submit(self: &Arc<Self>, request: SubmitRequest) -> AttemptReply {
        let attempt = request.attempt;
        let versions = request.versions;
        if versions != self.control.versions() {
            return self.reply(attempt, versions, AttemptState::StaleVersions);
        }
        let wait = Duration::from_millis(request.wait_ms);
        if let Some(state) = self.accept(request) {
            return self.reply(attempt, versions, state);
        }
        self.dispatch_ready();
        let state = self.wait_for_output(attempt, 0, wait).await;
        self.reply(attempt, versions, state)
    }

    /// Reads the output of an attempt from a sequence number on, and waits if there is none yet.
    pub(crate) async fn read(&self, request: ReadRequest) -> AttemptReply {
        let (attempt, versions) = (request.attempt, request.versions);
        if request.agent != self.incarnation {
            return self.reply(attempt, versions, AttemptState::Unknown);
        }
        let wait = Duration::from_millis(request.wait_ms);
        let state = self.wait_for_output(attempt, request.from_sequence, wait).await;
        self.reply(attempt, versions, state)
    }

    /// Cancels an attempt, and aborts its call if that is running and may be repeated.
    pub(crate) fn cancel(&self, request: &CancelRequest) -> AttemptReply {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let (lookup, running) =
            state.core.cancel(request.attempt, request.agent, request.dispatch_by_ms, now_ms);
        // An aborted call loads the upstream until it notices the abort; a cold one completes it.
        let may_abort = !state.core.load(now_ms).cold;
        let abort = running.and_then(|it| state.abort_tokens.get(&it));
        if let Some(abort) = abort.filter(|_| may_abort) {
            abort.cancel();
        }
        state.unread.remove(&request.attempt);
        self.notify_readers(&mut state);
        drop(state);
        info!(attempt:% = request.attempt, running = running.is_some(); "attempt cancelled");
        self.reply(request.attempt, request.versions, attempt_state(lookup))
    }

    /// Does the periodic work; see [`AgentCore::tick`].
    pub(crate) fn tick(self: &Arc<Self>) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let listed = state.listed.tick(now_ms);
        state.set_listed(listed, now_ms);
        state.core.tick(now_ms);
        let State { core, unread, .. } = &mut *state;
        // An entry that no longer exists never reads its attempts.
        unread.retain(|it| core.has_record(*it));
        self.notify_readers(&mut state);
        self.metrics.set_load(state.core.load(now_ms));
        drop(state);
        self.dispatch_ready();
    }

    /// Probes the upstream once, then dispatches the attempts that the result allows.
    pub(crate) async fn probe(self: &Arc<Self>) {
        self.probe_upstream().await;
        self.dispatch_ready();
    }

    async fn probe_upstream(&self) {
        let ticket = self.lock().core.begin_probe(self.clock.now_ms());
        let ProbeReply { result, request_limit_per_s } = self.upstream.probe().await;
        let strikes = {
            let mut state = self.lock();
            // One lock for both, so that no call reaches a boot unknown to its dispatch decision.
            if let ProbeResult::Answered { boot_id: Some(boot_id), .. } = result {
                self.upstream.set_boot_id(boot_id);
            }
            let now_ms = self.clock.now_ms();
            let strikes = state.core.on_probe(ticket, result, now_ms);
            if matches!(result, ProbeResult::Answered { .. }) {
                state.observe_request_limit(request_limit_per_s, ticket.sent_ms(), now_ms);
            }
            self.notify_readers(&mut state);
            strikes
        };
        for strike in strikes {
            self.metrics.strikes.inc();
            info!(fingerprint:% = strike.fingerprint, alone = strike.alone, stop = strike.number; "upstream crashed with a request in progress");
        }
    }

    /// Begins a graceful shutdown: new attempts and queued attempts are refused as not run.
    pub(crate) fn begin_shutdown(&self) {
        let mut state = self.lock();
        state.core.stop(self.clock.now_ms());
        self.notify_readers(&mut state);
    }

    /// Returns the numbers of attempts in progress and of ended ones that no entry has read.
    pub(crate) fn remaining(&self) -> (u32, usize) {
        let state = self.lock();
        (state.core.in_progress_count(), state.unread.len())
    }

    /// Returns the state of the agent that is part of each reply.
    pub(crate) fn feedback(&self) -> Feedback {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        Feedback {
            incarnation: self.incarnation,
            now_ms,
            versions: self.control.versions(),
            load: state.core.load(now_ms),
            strikes: state.core.recent_strikes(now_ms),
        }
    }

    /// Submits an attempt to the core; returns its state unless it was accepted.
    fn accept(&self, request: SubmitRequest) -> Option<AttemptState> {
        let attempt = request.attempt;
        let submission = Submission {
            attempt,
            agent: request.agent,
            pool: request.pool,
            customer: request.customer,
            fingerprint: request.fingerprint,
            strikes: request.strikes,
            dispatch_by_ms: request.dispatch_by_ms,
            deadline_ms: request.deadline_ms,
            estimate_ms: request.estimate_ms,
        };
        let mut state = self.lock();
        let lookup = state.core.submit(&submission, self.clock.now_ms());
        match lookup {
            AttemptLookup::Accepted(_) => {}
            refused => {
                if let AttemptLookup::NotRun(refusal) = &refused {
                    self.metrics.count_refused(refusal.reason);
                    info!(attempt:% = attempt, reason:% = refusal.reason; "attempt refused");
                }
                self.notify_readers(&mut state);
                return Some(attempt_state(refused));
            }
        }
        // A repeated submit refers to the same attempt, whose call is stored or already dispatched.
        if !state.notifiers.contains_key(&attempt) && state.core.is_waiting(attempt) {
            let pending = PendingCall { call: request.call, may_abort: request.idempotent };
            state.pending_calls.insert(attempt, pending);
            state.notifiers.insert(attempt, Arc::new(Notify::new()));
        }
        self.notify_readers(&mut state);
        None
    }

    /// Dispatches all attempts that may start now, and starts the probe on which others wait.
    fn dispatch_ready(self: &Arc<Self>) {
        let mut state = self.lock();
        while let Some(dispatch) = state.core.next(self.clock.now_ms()) {
            let Some(pending) = state.pending_calls.remove(&dispatch.attempt) else {
                state.core.on_end(dispatch.key, &CallResult::Cancelled, self.clock.now_ms());
                continue;
            };
            let abort = CancellationToken::new();
            if pending.may_abort {
                state.abort_tokens.insert(dispatch.key, abort.clone());
            }
            self.metrics.dispatched.inc();
            info!(attempt:% = dispatch.attempt, path:% = pending.call.path, queued_ms = dispatch.queued_ms; "dispatching to upstream");
            let client = self.upstream.current_boot();
            tokio::spawn(self.clone().run_call(dispatch, client, pending.call, abort));
        }
        self.notify_readers(&mut state);
        if state.core.needs_probe() && !state.is_probing {
            state.is_probing = true;
            tokio::spawn(self.clone().probe_on_demand());
        }
    }

    async fn probe_on_demand(self: Arc<Self>) {
        self.probe_upstream().await;
        self.lock().is_probing = false;
        self.dispatch_ready();
    }

    /// Makes the call of a dispatched attempt and records its output and result.
    async fn run_call(
        self: Arc<Self>,
        dispatch: Dispatch,
        client: BootClient,
        call: UpstreamCall,
        abort: CancellationToken,
    ) {
        let sent_ms = self.clock.now_ms();
        let on_limit = |stated_per_s| {
            let mut state = self.lock();
            state.observe_request_limit(stated_per_s, sent_ms, self.clock.now_ms());
            self.notify_readers(&mut state);
        };
        let on_chunk = |chunk| {
            let mut state = self.lock();
            state.core.push_chunk(dispatch.key, chunk);
            self.notify_readers(&mut state);
        };
        let response = tokio::select! {
            response = client.call(dispatch.attempt, call, on_limit, on_chunk) => Some(response),
            () = abort.cancelled() => None,
        };
        let result = match response {
            Some(response) => call_result(response),
            None => CallResult::Cancelled,
        };
        if result == CallResult::Lost {
            self.lock().core.on_lost();
            // The strikes of a crash have to be known before an entry learns of the lost response.
            let detected = tokio::time::timeout(CRASH_DETECTION_TIMEOUT, self.detect_crash());
            if detected.await.is_err() {
                info!(attempt:% = dispatch.attempt; "response lost; no probe determined in time whether the upstream crashed");
            }
        }
        self.finish(dispatch, &result);
        self.dispatch_ready();
    }

    /// Probes the upstream until it is known whether it crashed.
    async fn detect_crash(self: &Arc<Self>) {
        loop {
            self.probe().await;
            if !self.lock().core.is_crash_suspected() {
                return;
            }
            tokio::time::sleep(CRASH_PROBE_INTERVAL).await;
        }
    }

    /// Records the result of a call.
    fn finish(&self, dispatch: Dispatch, result: &CallResult) {
        let mut state = self.lock();
        state.abort_tokens.remove(&dispatch.key);
        state.core.on_end(dispatch.key, result, self.clock.now_ms());
        self.metrics.count_ended(result);
        if *result != CallResult::Cancelled {
            state.unread.insert(dispatch.attempt);
        }
        self.notify_readers(&mut state);
    }

    /// Waits for output from sequence number `from` on, and then collects further output for the
    /// coalesce time unless it is the first output of the attempt.
    async fn wait_for_output(&self, attempt: AttemptId, from: u64, wait: Duration) -> AttemptState {
        let mut deadline = Instant::now() + wait;
        let mut is_coalescing = false;
        loop {
            let changed = {
                let mut state = self.lock();
                let lookup = state.core.read(attempt, from, MAX_PAGE_BYTES);
                let notify = state.notifiers.get(&attempt).cloned();
                let output = output_state(&lookup);
                let is_done = output == OutputState::Ended || Instant::now() >= deadline;
                let is_first = output == OutputState::New && from == 0;
                let (false, false, Some(notify)) = (is_done, is_first, notify) else {
                    record_read(&mut state, attempt, &lookup);
                    return attempt_state(lookup);
                };
                if output == OutputState::New && !is_coalescing {
                    is_coalescing = true;
                    deadline = deadline.min(Instant::now() + COALESCE_TIME);
                }
                notify.notified_owned()
            };
            // The next iteration checks whether there is output or the deadline has passed.
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// Notifies the readers of changed attempts, and removes the resources of ended attempts.
    fn notify_readers(&self, state: &mut State) {
        state.log_cold_change(self.clock.now_ms());
        for attempt in state.core.take_changed() {
            if let Some(notify) = state.notifiers.get(&attempt) {
                notify.notify_waiters();
            }
            if state.core.is_in_progress(attempt) {
                continue;
            }
            state.notifiers.remove(&attempt);
            state.pending_calls.remove(&attempt);
        }
    }

    /// Returns the control state's age; the agent does not track that of the environment document.
    fn ages(&self) -> Ages {
        let operations_ms = self.lock().core.control_age_ms(self.clock.now_ms());
        Ages { config_ms: None, operations_ms }
    }

    /// Returns the time of the reply that `echo` identifies, if this incarnation sent it.
    fn echoed_reply_ms(&self, echo: Option<Echo>) -> Option<u64> {
        let echo = echo?;
        (echo.incarnation == self.incarnation).then_some(echo.now_ms)
    }

    fn reply(&self, attempt: AttemptId, versions: Versions, state: AttemptState) -> AttemptReply {
        let update = match state {
            AttemptState::StaleVersions => self.control.update_for(versions),
            _ => ControlUpdate::default(),
        };
        AttemptReply { feedback: self.feedback(), update, attempt, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a lookup of an attempt found new output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputState {
    /// No new output yet.
    None,
    /// New chunks of an attempt that has not ended.
    New,
    /// The attempt has ended, was not run or is unknown.
    Ended,
}

fn output_state(lookup: &AttemptLookup) -> OutputState {
    let AttemptLookup::Accepted(page) = lookup else { return OutputState::Ended };
    match page.progress {
        Progress::Completed(_) | Progress::Failed(_) => OutputState::Ended,
        Progress::Queued | Progress::Running if page.chunks.is_empty() => OutputState::None,
        Progress::Queued | Progress::Running => OutputState::New,
    }
}

/// Records that an entry reads the final state of an attempt, if it has ended.
fn record_read(state: &mut State, attempt: AttemptId, lookup: &AttemptLookup) {
    let AttemptLookup::Accepted(page) = lookup else { return };
    if matches!(page.progress, Progress::Completed(_) | Progress::Failed(_)) {
        state.unread.remove(&attempt);
    }
}

fn attempt_state(lookup: AttemptLookup) -> AttemptState {
    match lookup {
        AttemptLookup::Accepted(page) => AttemptState::Accepted(page),
        AttemptLookup::NotRun(refusal) => AttemptState::NotRun(refusal),
        AttemptLookup::Unknown => AttemptState::Unknown,
    }
}

fn call_result(response: Result<ResponseHead, CallError>) -> CallResult {
    match response {
        Ok(head) => CallResult::Completed { status: head.status, content_type: head.content_type },
        Err(CallError::Status(status)) => CallResult::Rejected { status },
        Err(CallError::NotConnected | CallError::Refused) => CallResult::NotConnected,
        Err(CallError::Lost | CallError::Truncated) => CallResult::Lost,
    }
}
