//! Runs attempts on the upstream and keeps their output for the entries.

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
    attempt::{AttemptKey, AttemptLookup, Progress},
    control::{ControlUpdate, Versions},
    ids::{AttemptId, Incarnation},
    membership::InstanceState,
};
use yuccatrail_rpc::messages::{
    Ages, AttemptReply, AttemptState, CancelRequest, Echo, Feedback, ReadRequest, SubmitRequest,
    SyncReply, SyncRequest, UpstreamCall,
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use crate::{
    listed::Listed,
    metrics::Metrics,
    upstream::{AnswerHead, CallError, RunClient, UpstreamClient},
};

/// Largest size of the output in one reply, in bytes.
const MAX_PAGE_BYTES: usize = 256 * 1024;
/// Longest time for which the loss of an answer is kept back until a probe settles its cause.
const LOSS_SETTLE_LIMIT: Duration = Duration::from_millis(1000);
/// Time between two probes after a loss.
const LOSS_PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which output is gathered before it is sent, so that a fast stream needs few calls.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Everything that the agent's decisions and tasks share.
struct State {
    core: AgentCore,
    /// Calls of attempts that wait for dispatch.
    calls: FastMap<AttemptId, PendingCall>,
    /// Wakes the readers of attempts that have not ended.
    changed: FastMap<AttemptId, Arc<Notify>>,
    /// Cuts running calls that may be cut.
    cuts: FastMap<AttemptKey, CancellationToken>,
    /// Ended attempts whose end no entry has read yet.
    unread: FastSet<AttemptId>,
    /// State of the upstream in the instance list.
    listed: Listed,
    /// Whether a probe that attempts wait for is under way.
    probing: bool,
    /// Whether the upstream counted as cold when that was logged last.
    logged_cold: bool,
}

impl State {
    /// Passes a change of the listed state on to the core.
    fn set_listed(&mut self, change: Option<(u64, InstanceState)>, now_ms: u64) {
        let Some((version, state)) = change else { return };
        info!(version = version; "upstream listed as {state:?}");
        self.core.set_listed(version, state, now_ms);
    }

    /// Logs when the upstream turned cold or warm.
    fn log_warmth(&mut self) {
        let load = self.core.load();
        if load.cold == self.logged_cold {
            return;
        }
        self.logged_cold = load.cold;
        let (running, limit, doubts_probes) = (load.running, load.limit, self.core.doubts_probes());
        info!(cold = load.cold, running = running, limit = limit, doubts_probes = doubts_probes; "upstream's warmth changed");
    }
}

/// Call of an attempt that waits for dispatch.
struct PendingCall {
    call: UpstreamCall,
    /// Whether the call may be cut at the upstream when it is cancelled.
    may_cut: bool,
}

/// Runs attempts on one upstream.
pub(crate) struct Executor {
    incarnation: Incarnation,
    clock: Clock,
    upstream: UpstreamClient,
    control: Arc<SharedControl>,
    metrics: Metrics,
    state: Mutex<State>,
}

impl Executor {
    /// Creates an executor with no work.
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
            calls: FastMap::default(),
            changed: FastMap::default(),
            cuts: FastMap::default(),
            unread: FastSet::default(),
            listed: Listed::default(),
            probing: false,
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
            let listed = state.listed.hear(request.is_listed_leaving, now_ms);
            state.set_listed(listed, now_ms);
            state.core.merge_strikes(&request.strikes, now_ms);
            let holds_all = !request.versions.has_newer_than(self.control.versions());
            if let Some(sent_ms) = self.echoed_ms(request.echo)
                && let Some(age_ms) = request.ages.operations_ms
                && holds_all
            {
                state.core.confirm_control(sent_ms, age_ms);
            }
            sync_again = state.core.should_sync_again(!holds_all, now_ms);
            self.wake(&mut state);
        }
        self.start_ready();
        SyncReply {
            lacks_instances: false,
            feedback: self.feedback(),
            update: self.control.update_for(request.versions),
            ages: self.ages(),
            sync_again,
        }
    }

    /// Accepts or refuses an attempt and waits for its first output.
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
        self.start_ready();
        let state = self.wait_output(attempt, 0, wait).await;
        self.reply(attempt, versions, state)
    }

    /// Reads an attempt's output, waiting for more if there is none yet.
    pub(crate) async fn read(&self, request: ReadRequest) -> AttemptReply {
        let (attempt, versions) = (request.attempt, request.versions);
        if request.agent != self.incarnation {
            return self.reply(attempt, versions, AttemptState::Unknown);
        }
        let wait = Duration::from_millis(request.wait_ms);
        let state = self.wait_output(attempt, request.from_sequence, wait).await;
        self.reply(attempt, versions, state)
    }

    /// Cancels an attempt and cuts its call if it runs and may be repeated.
    pub(crate) fn cancel(&self, request: &CancelRequest) -> AttemptReply {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let (lookup, running) =
            state.core.cancel(request.attempt, request.agent, request.dispatch_by_ms, now_ms);
        // A call that is cut burdens its upstream until that notices, so a cold one finishes it.
        let may_cut = !state.core.load().cold;
        let cut = running.and_then(|it| state.cuts.get(&it));
        if let Some(cut) = cut.filter(|_| may_cut) {
            cut.cancel();
        }
        state.unread.remove(&request.attempt);
        self.wake(&mut state);
        drop(state);
        info!(attempt:% = request.attempt, running = running.is_some(); "attempt cancelled");
        self.reply(request.attempt, request.versions, attempt_state(lookup))
    }

    /// Does the periodic work.
    pub(crate) fn tick(self: &Arc<Self>) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let listed = state.listed.tick(now_ms);
        state.set_listed(listed, now_ms);
        state.core.tick(now_ms);
        let State { core, unread, .. } = &mut *state;
        // An entry that is gone reads nothing any more.
        unread.retain(|it| core.has_record(*it));
        self.wake(&mut state);
        self.metrics.observe_load(state.core.load());
        drop(state);
        self.start_ready();
    }

    /// Probes the upstream once and starts what its answer allows.
    pub(crate) async fn probe(self: &Arc<Self>) {
        self.probe_upstream().await;
        self.start_ready();
    }

    async fn probe_upstream(&self) {
        let ticket = self.lock().core.begin_probe(self.clock.now_ms());
        let result = self.upstream.probe().await;
        let strikes = {
            let mut state = self.lock();
            // Both change together, so that no call goes to a run that the decision did not know.
            if let ProbeResult::Answered { boot_id: Some(run), .. } = result {
                self.upstream.set_run(run);
            }
            state.core.on_probe(ticket, result, self.clock.now_ms())
        };
        for strike in strikes {
            self.metrics.strikes.inc();
            info!(fingerprint:% = strike.fingerprint, alone = strike.alone, stop = strike.number; "upstream stopped with a request in progress");
        }
    }

    /// Begins a planned stop: new work is refused and queued work handed back.
    pub(crate) fn stop(&self) {
        let mut state = self.lock();
        state.core.stop(self.clock.now_ms());
        self.wake(&mut state);
    }

    /// Returns the number of attempts that have not ended, and of ends that no entry has read.
    pub(crate) fn remaining(&self) -> (u32, usize) {
        let state = self.lock();
        (state.core.in_progress_count(), state.unread.len())
    }

    /// Describes the agent's state.
    pub(crate) fn feedback(&self) -> Feedback {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        Feedback {
            incarnation: self.incarnation,
            now_ms,
            versions: self.control.versions(),
            load: state.core.load(),
            strikes: state.core.recent_strikes(now_ms),
        }
    }

    /// Hands an attempt to the core; returns its state if it is not waiting or running.
    fn accept(&self, request: SubmitRequest) -> Option<AttemptState> {
        let attempt = request.attempt;
        let order = Submission {
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
        let lookup = state.core.submit(&order, self.clock.now_ms());
        match lookup {
            AttemptLookup::Accepted(_) => {}
            refused => {
                if let AttemptLookup::NotRun(refusal) = &refused {
                    self.metrics.refused(refusal.reason);
                    info!(attempt:% = attempt, reason:% = refusal.reason; "attempt refused");
                }
                self.wake(&mut state);
                return Some(attempt_state(refused));
            }
        }
        // A repeated submit joins the attempt, whose call is kept or already gone.
        if !state.changed.contains_key(&attempt) && state.core.is_waiting(attempt) {
            let pending = PendingCall { call: request.call, may_cut: request.idempotent };
            state.calls.insert(attempt, pending);
            state.changed.insert(attempt, Arc::new(Notify::new()));
        }
        self.wake(&mut state);
        None
    }

    /// Starts every attempt that may start now, and the probe that others wait for.
    fn start_ready(self: &Arc<Self>) {
        let mut state = self.lock();
        while let Some(dispatch) = state.core.next(self.clock.now_ms()) {
            let Some(pending) = state.calls.remove(&dispatch.attempt) else {
                state.core.on_end(dispatch.key, &CallResult::Cancelled, self.clock.now_ms());
                continue;
            };
            let cut = CancellationToken::new();
            if pending.may_cut {
                state.cuts.insert(dispatch.key, cut.clone());
            }
            self.metrics.dispatched.inc();
            info!(attempt:% = dispatch.attempt, path:% = pending.call.path, queued_ms = dispatch.queued_ms; "dispatching to upstream");
            let run = self.upstream.current_run();
            tokio::spawn(self.clone().run(dispatch, run, pending.call, cut));
        }
        self.wake(&mut state);
        if state.core.needs_probe() && !state.probing {
            state.probing = true;
            tokio::spawn(self.clone().probe_on_demand());
        }
    }

    async fn probe_on_demand(self: Arc<Self>) {
        self.probe_upstream().await;
        self.lock().probing = false;
        self.start_ready();
    }

    async fn run(
        self: Arc<Self>,
        dispatch: Dispatch,
        client: RunClient,
        call: UpstreamCall,
        cut: CancellationToken,
    ) {
        let on_chunk = |chunk| {
            let mut state = self.lock();
            state.core.push_chunk(dispatch.key, chunk);
            self.wake(&mut state);
        };
        let answer = tokio::select! {
            answer = client.call(dispatch.attempt, call, on_chunk) => Some(answer),
            () = cut.cancelled() => None,
        };
        let result = match answer {
            Some(answer) => call_result(answer),
            None => CallResult::Cancelled,
        };
        if result == CallResult::Lost {
            self.lock().core.on_lost();
            // The strikes of a stop have to be known before an entry learns of the loss.
            let settled = tokio::time::timeout(LOSS_SETTLE_LIMIT, self.settle_loss());
            if settled.await.is_err() {
                info!(attempt:% = dispatch.attempt; "no probe settled the loss of an answer");
            }
        }
        self.finish(dispatch, &result);
        self.start_ready();
    }

    /// Probes the upstream until it is known whether it stopped.
    async fn settle_loss(self: &Arc<Self>) {
        loop {
            self.probe().await;
            if !self.lock().core.is_crash_suspected() {
                return;
            }
            tokio::time::sleep(LOSS_PROBE_INTERVAL).await;
        }
    }

    fn finish(&self, dispatch: Dispatch, result: &CallResult) {
        let mut state = self.lock();
        state.cuts.remove(&dispatch.key);
        state.core.on_end(dispatch.key, result, self.clock.now_ms());
        self.metrics.ended(result);
        if *result != CallResult::Cancelled {
            state.unread.insert(dispatch.attempt);
        }
        self.wake(&mut state);
    }

    /// Waits for output from `from` on; further output is gathered for a moment, except the first.
    async fn wait_output(&self, attempt: AttemptId, from: u64, wait: Duration) -> AttemptState {
        let mut until = Instant::now() + wait;
        let mut gathers = false;
        loop {
            let changed = {
                let mut state = self.lock();
                let lookup = state.core.read(attempt, from, MAX_PAGE_BYTES);
                let notify = state.changed.get(&attempt).cloned();
                let output = output_of(&lookup);
                let is_over = output == Output::Ended || Instant::now() >= until;
                let is_first = output == Output::New && from == 0;
                let (false, false, Some(notify)) = (is_over, is_first, notify) else {
                    note_read(&mut state, attempt, &lookup);
                    return attempt_state(lookup);
                };
                if output == Output::New && !gathers {
                    gathers = true;
                    until = until.min(Instant::now() + GATHER_TIME);
                }
                notify.notified_owned()
            };
            // The next look tells whether there is news or the time is over.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// Wakes the readers of changed attempts and lets go of what ended attempts no longer need.
    fn wake(&self, state: &mut State) {
        state.log_warmth();
        for attempt in state.core.take_changed() {
            if let Some(notify) = state.changed.get(&attempt) {
                notify.notify_waiters();
            }
            if state.core.is_in_progress(attempt) {
                continue;
            }
            state.changed.remove(&attempt);
            state.calls.remove(&attempt);
        }
    }

    /// Returns the age of the agent's control state, as far as it is known.
    fn ages(&self) -> Ages {
        let operations_ms = self.lock().core.control_age_ms(self.clock.now_ms());
        Ages { config_ms: None, operations_ms }
    }

    /// Returns the time of the reply that a request follows, if it was made by this run.
    fn echoed_ms(&self, echo: Option<Echo>) -> Option<u64> {
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

/// What a look at an attempt found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    /// Nothing new.
    None,
    /// New chunks of an attempt that goes on.
    New,
    /// The attempt has ended or is not known.
    Ended,
}

fn output_of(lookup: &AttemptLookup) -> Output {
    let AttemptLookup::Accepted(page) = lookup else { return Output::Ended };
    match page.progress {
        Progress::Completed(_) | Progress::Failed(_) => Output::Ended,
        Progress::Queued | Progress::Running if page.chunks.is_empty() => Output::None,
        Progress::Queued | Progress::Running => Output::New,
    }
}

/// Notes that an entry reads the end of an attempt.
fn note_read(state: &mut State, attempt: AttemptId, lookup: &AttemptLookup) {
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

fn call_result(answer: Result<AnswerHead, CallError>) -> CallResult {
    match answer {
        Ok(head) => CallResult::Completed { status: head.status, content_type: head.content_type },
        Err(CallError::Status(status)) => CallResult::Rejected { status },
        Err(CallError::NotConnected | CallError::Refused) => CallResult::NotConnected,
        Err(CallError::Lost | CallError::Cut) => CallResult::Lost,
    }
}
