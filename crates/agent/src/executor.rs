//! Runs attempts on the upstream and keeps their output for the entries.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use log::info;
use tokio::sync::Notify;
use yuccatrail_core::{
    FastMap,
    ids::{AttemptId, Incarnation},
    outcome::{Reason, Refusal, Usage},
};
use yuccatrail_rpc::messages::{
    AttemptFailure, AttemptReply, AttemptState, Completion, Feedback, Load, OutputPage, Progress,
    SubmitRequest, UpstreamCall,
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use crate::upstream::{AnswerHead, CallError, UpstreamClient};

/// Calls that run at once while no configuration is known.
const DEFAULT_LIMIT: u32 = 8;

/// One attempt that the agent was handed.
struct AttemptRecord {
    chunks: Vec<Bytes>,
    progress: Progress,
    changed: Arc<Notify>,
}

struct State {
    records: FastMap<AttemptId, AttemptRecord>,
    queue: VecDeque<(AttemptId, UpstreamCall)>,
    running: u32,
}

/// Runs attempts on one upstream.
pub(crate) struct Executor {
    incarnation: Incarnation,
    clock: Clock,
    upstream: UpstreamClient,
    control: Arc<SharedControl>,
    state: Mutex<State>,
}

impl Executor {
    /// Creates an executor with no work.
    pub(crate) fn new(
        incarnation: Incarnation,
        clock: Clock,
        upstream: UpstreamClient,
        control: Arc<SharedControl>,
    ) -> Arc<Self> {
        let state = State { records: FastMap::default(), queue: VecDeque::new(), running: 0 };
        Arc::new(Self { incarnation, clock, upstream, control, state: Mutex::new(state) })
    }

    /// Accepts or refuses an attempt and waits for its first output.
    pub(crate) async fn submit(self: &Arc<Self>, request: SubmitRequest) -> AttemptReply {
        let attempt = request.attempt;
        if request.agent != self.incarnation || self.clock.now_ms() > request.dispatch_by_ms {
            let refusal = Refusal::not_run(Reason::DispatchExpired, 0);
            return self.reply(attempt, AttemptState::NotRun(refusal));
        }
        let wait = Duration::from_millis(request.wait_ms);
        self.enqueue(request);
        self.start_ready();
        self.read(attempt, 0, wait).await
    }

    /// Reads an attempt's output, waiting up to `wait` for more.
    pub(crate) async fn read(
        &self,
        attempt: AttemptId,
        from_sequence: u64,
        wait: Duration,
    ) -> AttemptReply {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let (page, changed) = {
                let state = self.lock();
                let Some(record) = state.records.get(&attempt) else {
                    return self.reply(attempt, AttemptState::Unknown);
                };
                (page_of(record, from_sequence), record.changed.clone())
            };
            let ended = !matches!(page.progress, Progress::Queued | Progress::Running);
            if ended || !page.chunks.is_empty() {
                return self.reply(attempt, AttemptState::Accepted(page));
            }
            if tokio::time::timeout_at(deadline, changed.notified()).await.is_err() {
                return self.reply(attempt, AttemptState::Accepted(page));
            }
        }
    }

    /// Describes the agent's state.
    pub(crate) fn feedback(&self) -> Feedback {
        let state = self.lock();
        let load = Load {
            running: state.running,
            queued: state.queue.len() as u32,
            limit: DEFAULT_LIMIT,
            cold: false,
            draining: false,
        };
        Feedback {
            incarnation: self.incarnation,
            now_ms: self.clock.now_ms(),
            versions: self.control.versions(),
            load,
            strikes: Vec::new(),
        }
    }

    fn enqueue(&self, request: SubmitRequest) {
        let mut state = self.lock();
        if state.records.contains_key(&request.attempt) {
            return;
        }
        let record = AttemptRecord {
            chunks: Vec::new(),
            progress: Progress::Queued,
            changed: Arc::new(Notify::new()),
        };
        state.records.insert(request.attempt, record);
        state.queue.push_back((request.attempt, request.call));
    }

    fn start_ready(self: &Arc<Self>) {
        let mut state = self.lock();
        while state.running < DEFAULT_LIMIT {
            let Some((attempt, call)) = state.queue.pop_front() else { return };
            let Some(record) = state.records.get_mut(&attempt) else { continue };
            record.progress = Progress::Running;
            state.running += 1;
            info!(attempt:% = attempt, path:% = call.path; "dispatching to upstream");
            tokio::spawn(self.clone().run(attempt, call));
        }
    }

    async fn run(self: Arc<Self>, attempt: AttemptId, call: UpstreamCall) {
        let started_ms = self.clock.now_ms();
        let result = self.upstream.call(attempt, call, |chunk| self.push(attempt, chunk)).await;
        let engine_ms = self.clock.now_ms() - started_ms;
        self.finish(attempt, result, engine_ms);
        self.start_ready();
    }

    fn push(&self, attempt: AttemptId, chunk: Bytes) {
        let mut state = self.lock();
        let Some(record) = state.records.get_mut(&attempt) else { return };
        record.chunks.push(chunk);
        record.changed.notify_waiters();
        record.changed.notify_one();
    }

    fn finish(&self, attempt: AttemptId, result: Result<AnswerHead, CallError>, engine_ms: u64) {
        let mut state = self.lock();
        state.running -= 1;
        let Some(record) = state.records.get_mut(&attempt) else { return };
        let chunk_count = record.chunks.len() as u64;
        let usage = Usage { engine_ms, queued_ms: 0, tokens: chunk_count };
        record.progress = match result {
            Ok(head) => Progress::Completed(Completion {
                status: head.status,
                content_type: head.content_type,
                chunk_count,
                usage,
            }),
            Err(error) => Progress::Failed(failure(error, usage)),
        };
        record.changed.notify_waiters();
        record.changed.notify_one();
    }

    fn reply(&self, attempt: AttemptId, state: AttemptState) -> AttemptReply {
        AttemptReply { feedback: self.feedback(), update: Default::default(), attempt, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn page_of(record: &AttemptRecord, from_sequence: u64) -> OutputPage {
    let first = (from_sequence as usize).min(record.chunks.len());
    OutputPage {
        first_sequence: first as u64,
        chunks: record.chunks[first..].to_vec(),
        progress: record.progress.clone(),
    }
}

fn failure(error: CallError, usage: Usage) -> AttemptFailure {
    let status = match error {
        CallError::Status(status) => Some(status),
        _ => None,
    };
    let reason = match error {
        CallError::Status(_) => Reason::UpstreamError,
        _ => Reason::UpstreamLost,
    };
    AttemptFailure { reason, reported: status.is_some(), status, usage }
}
