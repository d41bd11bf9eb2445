//! One attempt of a stage on one upstream, through the upstream's agent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use tarpc::client::RpcError;
use yuccatrail_core::{
    attempt::{Completion, OutputAssembler, PageResult, Progress},
    ids::{AttemptId, Incarnation},
    outcome::{Execution, Reason, Refusal},
};
use yuccatrail_rpc::{
    messages::{
        AttemptReply, AttemptState, CancelRequest, OutputPage, ReadRequest, SubmitRequest,
        UpstreamCall,
    },
    service::AgentClient,
};

use super::{ChunkSink, Failure, RequestContext};
use crate::{
    entry::Entry,
    link::{Link, Report, context_for},
};

/// Maximum time for which an agent holds a reply while it waits for output, in milliseconds.
const LONG_POLL_MS: u64 = 500;
/// Time added to the wait of a long poll before the call to the agent times out.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(1000);
/// Maximum wait for the confirmation of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the next call after a call to the agent failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time without a reply after which an agent counts as lost, in milliseconds.
const AGENT_LOST_AFTER_MS: u64 = 1500;
/// Retry-After of refusals made here, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;
/// Maximum number of control state exchanges before the last try of a submit.
const MAX_CONTROL_SYNCS: u32 = 4;

/// Complete output of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    /// All chunks in order.
    pub(crate) chunks: Vec<Bytes>,
    /// Status, content type and usage as reported by the agent.
    pub(crate) completion: Completion,
}

/// Parameters of an attempt.
pub(crate) struct AttemptPlan {
    /// Identifier of the attempt.
    pub(crate) id: AttemptId,
    /// Pool that the upstream belongs to.
    pub(crate) pool: String,
    /// Whether the call may be run more than once.
    pub(crate) idempotent: bool,
    /// Latest time of dispatch to the upstream on the entry's clock, in milliseconds.
    pub(crate) dispatch_by_ms: u64,
    /// Time on the entry's clock until which the output is awaited, in milliseconds.
    pub(crate) await_until_ms: u64,
    /// Conservative estimate of the run time, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// HTTP call to the upstream.
    pub(crate) call: UpstreamCall,
    /// Receives the chunks as they arrive, if the stage is streamed.
    pub(crate) sink: Option<ChunkSink>,
}

/// An attempt in progress at an agent; dropping it before its end cancels it.
struct RunningAttempt {
    entry: Arc<Entry>,
    link: Arc<Link>,
    handle: AttemptHandle,
    await_until_ms: u64,
    assembler: OutputAssembler,
    chunks: Vec<Bytes>,
    sink: Option<ChunkSink>,
    has_ended: bool,
}

/// Fields that identify an attempt in a cancellation.
#[derive(Clone, Copy, Debug)]
struct AttemptHandle {
    id: AttemptId,
    agent: Incarnation,
    dispatch_by_ms: u64,
}

/// Progress of an attempt after a reply of the agent.
enum ReplyOutcome {
    InProgress,
    Completed(Completion),
    Failed(Failure),
    /// The agent has no record of the attempt.
    Unknown,
}

/// Runs an attempt until it completes, fails or is given up.
///
/// # Errors
///
/// Returns a failure that states what is known about the execution.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    link: &Arc<Link>,
    request: &RequestContext,
    plan: AttemptPlan,
) -> Result<Output, Failure> {
    let Some((client, report)) = link.connection() else {
        return Err(Refusal::not_run(Reason::NoUpstream, RETRY_AFTER_MS).into());
    };
    let submit = submit_request(entry, &report, request, &plan);
    let handle =
        AttemptHandle { id: plan.id, agent: submit.agent, dispatch_by_ms: submit.dispatch_by_ms };
    let running = RunningAttempt {
        entry: entry.clone(),
        link: link.clone(),
        handle,
        await_until_ms: plan.await_until_ms,
        assembler: OutputAssembler::new(plan.id, submit.agent),
        chunks: Vec::new(),
        sink: plan.sink,
        has_ended: false,
    };
    running.run_to_end(client, submit).await
}

fn submit_request(
    entry: &Entry,
    report: &Report,
    request: &RequestContext,
    plan: &AttemptPlan,
) -> SubmitRequest {
    SubmitRequest {
        versions: entry.versions(),
        attempt: plan.id,
        agent: report.feedback.incarnation,
        pool: plan.pool.clone(),
        customer: request.customer.clone(),
        fingerprint: request.fingerprint,
        strikes: entry.strikes.against(request.fingerprint, entry.clock.now_ms()),
        idempotent: plan.idempotent,
        dispatch_by_ms: report.agent_time_ms(plan.dispatch_by_ms),
        deadline_ms: report.agent_time_ms(request.deadline_ms),
        estimate_ms: plan.estimate_ms,
        call: plan.call.clone(),
        wait_ms: LONG_POLL_MS,
    }
}

impl RunningAttempt {
    async fn run_to_end(
        mut self,
        client: AgentClient,
        submit: SubmitRequest,
    ) -> Result<Output, Failure> {
        let mut last_reply_ms = self.entry.clock.now_ms();
        let mut sent_ms = last_reply_ms;
        let mut reply = self.submit(&client, submit).await;
        loop {
            match reply {
                Ok(reply) => {
                    last_reply_ms = self.entry.clock.now_ms();
                    match self.process_reply(reply, sent_ms) {
                        ReplyOutcome::InProgress => {}
                        ReplyOutcome::Completed(completion) => return Ok(self.finish(completion)),
                        ReplyOutcome::Failed(failure) => return Err(self.fail(failure)),
                        // The submit was lost or is delayed. The cancellation leaves a tombstone at
                        // the agent, which refuses a late submit.
                        ReplyOutcome::Unknown => {
                            return Err(self.abort(Reason::UnknownAttempt).await);
                        }
                    }
                }
                Err(error) => {
                    self.link.on_call_failed();
                    info!(attempt:% = self.handle.id, error:% = error; "call to agent failed");
                    self.link.request_heartbeat();
                    tokio::time::sleep(RECONNECT_DELAY).await;
                }
            }
            let now_ms = self.entry.clock.now_ms();
            if now_ms >= self.await_until_ms {
                return Err(self.abort(Reason::DeadlineExpired).await);
            }
            if now_ms >= last_reply_ms + AGENT_LOST_AFTER_MS {
                return Err(self.abort(Reason::AgentLost).await);
            }
            sent_ms = now_ms;
            reply = self.read(now_ms).await;
        }
    }

    /// Submits the attempt; repeats it after an exchange of control state if the agent reports that
    /// the versions are stale.
    async fn submit(
        &mut self,
        client: &AgentClient,
        mut submit: SubmitRequest,
    ) -> Result<AttemptReply, RpcError> {
        for _ in 0..MAX_CONTROL_SYNCS {
            let sent_ms = self.entry.clock.now_ms();
            let wait_ms = LONG_POLL_MS.min(self.await_until_ms.saturating_sub(sent_ms));
            submit.wait_ms = wait_ms;
            let context = context_for(call_timeout(wait_ms));
            let reply = client.submit(context, submit.clone()).await?;
            if reply.state != AttemptState::StaleVersions {
                return Ok(reply);
            }
            self.entry.control.adopt(reply.update, &self.link.name);
            let agent_versions = reply.feedback.versions;
            if self.entry.versions().has_newer_than(agent_versions) {
                self.link.sync(client, agent_versions).await;
            }
            submit.versions = self.entry.versions();
        }
        warn!(attempt:% = self.handle.id; "control state of entry and agent still differs after repeated exchanges");
        let context = context_for(call_timeout(0));
        client.submit(context, submit).await
    }

    /// Reads the output that follows the received one, waiting up to [`LONG_POLL_MS`] for it.
    async fn read(&self, now_ms: u64) -> Result<AttemptReply, RpcError> {
        let Some((client, _)) = self.link.connection() else { return Err(RpcError::Shutdown) };
        let wait_ms = LONG_POLL_MS.min(self.await_until_ms - now_ms);
        let request = ReadRequest {
            versions: self.entry.versions(),
            attempt: self.handle.id,
            agent: self.handle.agent,
            from_sequence: self.assembler.next_sequence(),
            wait_ms,
        };
        client.read(context_for(call_timeout(wait_ms)), request).await
    }

    fn process_reply(&mut self, reply: AttemptReply, sent_ms: u64) -> ReplyOutcome {
        let agent = reply.feedback.incarnation;
        self.link.apply_feedback(reply.feedback, sent_ms);
        if agent != self.handle.agent {
            return ReplyOutcome::Failed(unknown_execution(Reason::AgentLost).into());
        }
        match reply.state {
            AttemptState::Accepted(page) => self.process_page(reply.attempt, agent, page),
            AttemptState::NotRun(refusal) => ReplyOutcome::Failed(refusal.into()),
            AttemptState::StaleVersions => ReplyOutcome::Failed(
                Refusal::not_run(Reason::NoConfiguration, RETRY_AFTER_MS).into(),
            ),
            AttemptState::Unknown => ReplyOutcome::Unknown,
        }
    }

    fn process_page(
        &mut self,
        attempt: AttemptId,
        agent: Incarnation,
        page: OutputPage,
    ) -> ReplyOutcome {
        let progress = page.progress.clone();
        match self.assembler.receive_page(attempt, agent, page) {
            PageResult::Released(chunks) => self.deliver(chunks),
            PageResult::Mismatched | PageResult::Contradictory => {
                self.entry.metrics.mismatched_pages.inc();
                return ReplyOutcome::InProgress;
            }
        }
        if let Some(completion) = self.assembler.completed() {
            return ReplyOutcome::Completed(completion.clone());
        }
        if let Progress::Failed(failure) = progress {
            let refusal = Refusal {
                reason: failure.reason,
                execution: failure.execution,
                retry_after_ms: RETRY_AFTER_MS,
            };
            return ReplyOutcome::Failed(Failure {
                refusal,
                usage: Some(failure.usage),
                delivered: false,
            });
        }
        ReplyOutcome::InProgress
    }

    fn deliver(&mut self, chunks: Vec<Bytes>) {
        for chunk in chunks {
            if let Some(sink) = &self.sink {
                // A send fails only when the caller has disconnected.
                let _ = sink.send(chunk.clone());
            }
            self.chunks.push(chunk);
        }
    }

    fn finish(mut self, completion: Completion) -> Output {
        self.has_ended = true;
        Output { chunks: std::mem::take(&mut self.chunks), completion }
    }

    fn fail(mut self, failure: Failure) -> Failure {
        self.has_ended = true;
        let delivered = !self.chunks.is_empty();
        let mut refusal = failure.refusal;
        // Received output proves that the call ran.
        if delivered && refusal.execution == Execution::NotRun {
            refusal.execution = Execution::Failed;
        }
        Failure { refusal, delivered, ..failure }
    }

    /// Cancels the attempt; the returned failure states whether the agent confirmed that it did not
    /// run.
    async fn abort(self, reason: Reason) -> Failure {
        let refusal = self.confirm_cancellation(reason).await;
        self.fail(refusal.into())
    }

    async fn confirm_cancellation(&self, reason: Reason) -> Refusal {
        let Some((client, _)) = self.link.connection() else { return unknown_execution(reason) };
        let reply = cancel(&self.entry, &client, self.handle, CANCEL_TIMEOUT).await;
        let confirmed = reply.is_some_and(|it| {
            it.feedback.incarnation == self.handle.agent
                && matches!(it.state, AttemptState::NotRun(_))
        });
        info!(attempt:% = self.handle.id, reason:% = reason, confirmed = confirmed; "attempt abandoned");
        if confirmed {
            return Refusal::not_run(reason, RETRY_AFTER_MS);
        }
        unknown_execution(reason)
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let Some((client, _)) = self.link.connection() else { return };
        let (entry, handle) = (self.entry.clone(), self.handle);
        tokio::spawn(async move {
            cancel(&entry, &client, handle, CALL_TIMEOUT_MARGIN).await;
        });
    }
}

async fn cancel(
    entry: &Entry,
    client: &AgentClient,
    handle: AttemptHandle,
    timeout: Duration,
) -> Option<AttemptReply> {
    let request = CancelRequest {
        versions: entry.versions(),
        attempt: handle.id,
        agent: handle.agent,
        dispatch_by_ms: handle.dispatch_by_ms,
    };
    client.cancel(context_for(timeout), request).await.ok()
}

fn unknown_execution(reason: Reason) -> Refusal {
    Refusal { reason, execution: Execution::Unknown, retry_after_ms: RETRY_AFTER_MS }
}

fn call_timeout(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms) + CALL_TIMEOUT_MARGIN
}
