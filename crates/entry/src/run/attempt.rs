//! One attempt of one stage on one upstream.

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

/// Longest time for which an agent holds a reply while it waits for output, in milliseconds.
const REPLY_WAIT_MS: u64 = 500;
/// Time added to the wait before a call to an agent counts as lost.
const CALL_MARGIN: Duration = Duration::from_millis(1000);
/// Longest wait for the confirmation of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two attempts to reach an agent again.
const RECONNECT_WAIT: Duration = Duration::from_millis(50);
/// Time after which an unreachable agent is given up, in milliseconds.
const AGENT_LOST_AFTER_MS: u64 = 1500;
/// Time after which a caller may try again when an agent was lost, in milliseconds.
const LOST_RETRY_AFTER_MS: u64 = 1000;
/// Times that a submit is repeated after an exchange of control state.
const MAX_EXCHANGES: u32 = 4;

/// Complete output of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    /// All chunks in order.
    pub(crate) chunks: Vec<Bytes>,
    /// The agent's description of the answer.
    pub(crate) completion: Completion,
}

/// Parameters of an attempt.
pub(crate) struct AttemptPlan {
    /// Identity of the attempt.
    pub(crate) id: AttemptId,
    /// Pool that the upstream belongs to.
    pub(crate) pool: String,
    /// Whether the call may be repeated.
    pub(crate) idempotent: bool,
    /// Latest time of dispatch on the entry's clock, in milliseconds.
    pub(crate) dispatch_by_ms: u64,
    /// Time until which the output is awaited, on the entry's clock in milliseconds.
    pub(crate) await_until_ms: u64,
    /// Expected run time, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// The upstream call.
    pub(crate) call: UpstreamCall,
    /// Receives the chunks as they arrive.
    pub(crate) sink: Option<ChunkSink>,
}

/// An attempt in progress on one agent; it is cancelled when the value is dropped before its end.
struct Running {
    entry: Arc<Entry>,
    link: Arc<Link>,
    handle: Handle,
    await_until_ms: u64,
    assembler: OutputAssembler,
    chunks: Vec<Bytes>,
    sink: Option<ChunkSink>,
    ended: bool,
}

/// What names an attempt towards its agent.
#[derive(Clone, Copy, Debug)]
struct Handle {
    id: AttemptId,
    agent: Incarnation,
    dispatch_by_ms: u64,
}

/// What a reply means for the attempt.
enum Step {
    More,
    Done(Completion),
    Failed(Failure),
    /// The agent does not know the attempt.
    Unknown,
}

/// Runs an attempt to its end.
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
        return Err(Refusal::not_run(Reason::NoUpstream, LOST_RETRY_AFTER_MS).into());
    };
    let submit = submit_request(entry, &report, request, &plan);
    let handle = Handle { id: plan.id, agent: submit.agent, dispatch_by_ms: submit.dispatch_by_ms };
    let running = Running {
        entry: entry.clone(),
        link: link.clone(),
        handle,
        await_until_ms: plan.await_until_ms,
        assembler: OutputAssembler::new(plan.id, submit.agent),
        chunks: Vec::new(),
        sink: plan.sink,
        ended: false,
    };
    running.follow(client, submit).await
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
        wait_ms: REPLY_WAIT_MS,
    }
}

impl Running {
    async fn follow(
        mut self,
        client: AgentClient,
        submit: SubmitRequest,
    ) -> Result<Output, Failure> {
        let mut reached_ms = self.entry.clock.now_ms();
        let mut sent_ms = reached_ms;
        let mut reply = self.submit(&client, submit).await;
        loop {
            match reply {
                Ok(reply) => {
                    reached_ms = self.entry.clock.now_ms();
                    match self.take(reply, sent_ms) {
                        Step::More => {}
                        Step::Done(completion) => return Ok(self.finish(completion)),
                        Step::Failed(failure) => return Err(self.fail(failure)),
                        // A submit that never arrived is settled by its tombstone.
                        Step::Unknown => return Err(self.give_up(Reason::UnknownAttempt).await),
                    }
                }
                Err(error) => {
                    self.link.suspect();
                    info!(attempt:% = self.handle.id, error:% = error; "call to agent failed");
                    self.link.check();
                    tokio::time::sleep(RECONNECT_WAIT).await;
                }
            }
            let now_ms = self.entry.clock.now_ms();
            if now_ms >= self.await_until_ms {
                return Err(self.give_up(Reason::DeadlineExpired).await);
            }
            if now_ms >= reached_ms + AGENT_LOST_AFTER_MS {
                return Err(self.give_up(Reason::AgentLost).await);
            }
            sent_ms = now_ms;
            reply = self.read(now_ms).await;
        }
    }

    /// Submits the attempt, after an exchange of control state where the agent asks for one.
    async fn submit(
        &mut self,
        client: &AgentClient,
        mut submit: SubmitRequest,
    ) -> Result<AttemptReply, RpcError> {
        for _ in 0..MAX_EXCHANGES {
            let sent_ms = self.entry.clock.now_ms();
            let wait_ms = REPLY_WAIT_MS.min(self.await_until_ms.saturating_sub(sent_ms));
            submit.wait_ms = wait_ms;
            let context = context_for(call_timeout(wait_ms));
            let reply = client.submit(context, submit.clone()).await?;
            if reply.state != AttemptState::StaleVersions {
                return Ok(reply);
            }
            self.entry.control.adopt(reply.update, &self.link.name);
            let known = reply.feedback.versions;
            if self.entry.versions().has_newer_than(known) {
                self.link.exchange(client, known).await;
            }
            submit.versions = self.entry.versions();
        }
        warn!(attempt:% = self.handle.id; "control state of entry and agent did not converge");
        let context = context_for(call_timeout(0));
        client.submit(context, submit).await
    }

    /// Reads the next output.
    async fn read(&self, now_ms: u64) -> Result<AttemptReply, RpcError> {
        let Some((client, _)) = self.link.connection() else { return Err(RpcError::Shutdown) };
        let wait_ms = REPLY_WAIT_MS.min(self.await_until_ms - now_ms);
        let request = ReadRequest {
            versions: self.entry.versions(),
            attempt: self.handle.id,
            agent: self.handle.agent,
            from_sequence: self.assembler.next_sequence(),
            wait_ms,
        };
        client.read(context_for(call_timeout(wait_ms)), request).await
    }

    fn take(&mut self, reply: AttemptReply, sent_ms: u64) -> Step {
        let agent = reply.feedback.incarnation;
        self.link.observe(reply.feedback, sent_ms);
        if agent != self.handle.agent {
            return Step::Failed(lost(Reason::AgentLost).into());
        }
        match reply.state {
            AttemptState::Accepted(page) => self.take_page(reply.attempt, agent, page),
            AttemptState::NotRun(refusal) => Step::Failed(refusal.into()),
            AttemptState::StaleVersions => {
                Step::Failed(Refusal::not_run(Reason::NoConfiguration, LOST_RETRY_AFTER_MS).into())
            }
            AttemptState::Unknown => Step::Unknown,
        }
    }

    fn take_page(&mut self, attempt: AttemptId, agent: Incarnation, page: OutputPage) -> Step {
        let progress = page.progress.clone();
        match self.assembler.receive_page(attempt, agent, page) {
            PageResult::Released(chunks) => self.deliver(chunks),
            PageResult::Mismatched | PageResult::Contradictory => {
                self.entry.metrics.mismatched_pages.inc();
                return Step::More;
            }
        }
        if let Some(completion) = self.assembler.completed() {
            return Step::Done(completion.clone());
        }
        if let Progress::Failed(failure) = progress {
            let refusal = Refusal {
                reason: failure.reason,
                execution: failure.execution,
                retry_after_ms: LOST_RETRY_AFTER_MS,
            };
            return Step::Failed(Failure { refusal, usage: Some(failure.usage), delivered: false });
        }
        Step::More
    }

    fn deliver(&mut self, chunks: Vec<Bytes>) {
        for chunk in chunks {
            if let Some(sink) = &self.sink {
                // A send fails only when the caller has gone away.
                let _ = sink.send(chunk.clone());
            }
            self.chunks.push(chunk);
        }
    }

    fn finish(mut self, completion: Completion) -> Output {
        self.ended = true;
        Output { chunks: std::mem::take(&mut self.chunks), completion }
    }

    fn fail(mut self, failure: Failure) -> Failure {
        self.ended = true;
        let delivered = !self.chunks.is_empty();
        let mut refusal = failure.refusal;
        // Output that was passed on shows that the call ran.
        if delivered && refusal.execution == Execution::NotRun {
            refusal.execution = Execution::Failed;
        }
        Failure { refusal, delivered, ..failure }
    }

    /// Cancels the attempt and reports what the agent confirms about it.
    async fn give_up(self, reason: Reason) -> Failure {
        let refusal = self.settle(reason).await;
        self.fail(refusal.into())
    }

    async fn settle(&self, reason: Reason) -> Refusal {
        let Some((client, _)) = self.link.connection() else { return lost(reason) };
        let reply = cancel(&self.entry, &client, self.handle, CANCEL_TIMEOUT).await;
        let confirmed = reply.is_some_and(|it| {
            it.feedback.incarnation == self.handle.agent
                && matches!(it.state, AttemptState::NotRun(_))
        });
        info!(attempt:% = self.handle.id, reason:% = reason, confirmed = confirmed; "attempt given up");
        if confirmed {
            return Refusal::not_run(reason, LOST_RETRY_AFTER_MS);
        }
        lost(reason)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let Some((client, _)) = self.link.connection() else { return };
        let (entry, handle) = (self.entry.clone(), self.handle);
        tokio::spawn(async move {
            cancel(&entry, &client, handle, CALL_MARGIN).await;
        });
    }
}

async fn cancel(
    entry: &Entry,
    client: &AgentClient,
    handle: Handle,
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

fn lost(reason: Reason) -> Refusal {
    Refusal { reason, execution: Execution::Unknown, retry_after_ms: LOST_RETRY_AFTER_MS }
}

fn call_timeout(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms) + CALL_MARGIN
}
