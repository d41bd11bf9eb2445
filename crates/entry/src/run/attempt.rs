//! One attempt of one stage on one upstream.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::info;
use tarpc::client::RpcError;
use yuccatrail_core::{
    ids::{AttemptId, Incarnation},
    outcome::{Execution, Reason, Refusal},
};
use yuccatrail_rpc::{
    messages::{
        AttemptReply, AttemptState, CancelRequest, Completion, OutputPage, Progress, ReadRequest,
        SubmitRequest, UpstreamCall,
    },
    service::AgentClient,
};

use super::RequestContext;
use crate::{
    entry::Entry,
    link::{Link, Report, context_for},
};

/// Longest time for which an agent holds a reply while it waits for output, in milliseconds.
const REPLY_WAIT_MS: u64 = 500;
/// Time added to the wait before a call to an agent counts as lost.
const CALL_MARGIN: Duration = Duration::from_millis(1500);
/// Time between two attempts to reach an agent again.
const RECONNECT_WAIT: Duration = Duration::from_millis(100);
/// Time after which an unreachable agent is given up, in milliseconds.
const AGENT_LOST_AFTER_MS: u64 = 3000;
/// Time after which a caller may try again when an agent was lost, in milliseconds.
const LOST_RETRY_AFTER_MS: u64 = 1000;

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
    /// Expected run time, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// The upstream call.
    pub(crate) call: UpstreamCall,
}

/// An attempt in progress on one agent.
struct Running<'a> {
    entry: &'a Entry,
    link: &'a Arc<Link>,
    agent: Incarnation,
    id: AttemptId,
    deadline_ms: u64,
    dispatch_by_ms: u64,
    chunks: Vec<Bytes>,
}

/// What a reply means for the attempt.
enum Step {
    More,
    Done(Completion),
    Failed(Refusal),
}

/// Runs an attempt to its end; `on_chunk` receives each chunk once, in order.
///
/// # Errors
///
/// Returns a refusal that states what is known about the execution.
pub(crate) async fn run(
    entry: &Entry,
    link: &Arc<Link>,
    request: &RequestContext,
    plan: AttemptPlan,
    on_chunk: &mut (impl FnMut(&Bytes) + Send),
) -> Result<Output, Refusal> {
    let Some((client, report)) = link.connection() else {
        return Err(Refusal::not_run(Reason::NoUpstream, LOST_RETRY_AFTER_MS));
    };
    let _in_flight = link.begin_attempt();
    let submit = submit_request(entry, &report, request, &plan);
    let running = Running {
        entry,
        link,
        agent: report.feedback.incarnation,
        id: plan.id,
        deadline_ms: request.deadline_ms,
        dispatch_by_ms: submit.dispatch_by_ms,
        chunks: Vec::new(),
    };
    let first = client.submit(context_for(call_timeout(submit.wait_ms)), submit).await;
    running.follow(first, on_chunk).await
}

fn submit_request(
    entry: &Entry,
    report: &Report,
    request: &RequestContext,
    plan: &AttemptPlan,
) -> SubmitRequest {
    let deadline_ms = report.agent_time_ms(request.deadline_ms);
    SubmitRequest {
        versions: entry.versions(),
        attempt: plan.id,
        agent: report.feedback.incarnation,
        pool: plan.pool.clone(),
        customer: request.customer.clone(),
        fingerprint: request.fingerprint,
        idempotent: plan.idempotent,
        dispatch_by_ms: deadline_ms,
        deadline_ms,
        estimate_ms: plan.estimate_ms,
        call: plan.call.clone(),
        wait_ms: REPLY_WAIT_MS,
    }
}

impl Running<'_> {
    async fn follow(
        mut self,
        first: Result<AttemptReply, RpcError>,
        on_chunk: &mut (impl FnMut(&Bytes) + Send),
    ) -> Result<Output, Refusal> {
        let mut reply = first;
        let mut reached_ms = self.entry.clock.now_ms();
        loop {
            if let Ok(reply) = reply {
                reached_ms = self.entry.clock.now_ms();
                match self.take(reply, on_chunk) {
                    Step::More => {}
                    Step::Done(completion) => {
                        return Ok(Output { chunks: self.chunks, completion });
                    }
                    Step::Failed(refusal) => return Err(refusal),
                }
            }
            let now_ms = self.entry.clock.now_ms();
            if now_ms >= self.deadline_ms {
                return Err(self.give_up(Reason::DeadlineExpired).await);
            }
            if now_ms >= reached_ms + AGENT_LOST_AFTER_MS {
                return Err(self.give_up(Reason::AgentLost).await);
            }
            reply = self.read(now_ms).await;
        }
    }

    /// Reads the next output, or waits for the connection to come back.
    async fn read(&self, now_ms: u64) -> Result<AttemptReply, RpcError> {
        let Some((client, _)) = self.link.connection() else {
            tokio::time::sleep(RECONNECT_WAIT).await;
            return Err(RpcError::Shutdown);
        };
        let wait_ms = REPLY_WAIT_MS.min(self.deadline_ms - now_ms);
        let request = ReadRequest {
            versions: self.entry.versions(),
            attempt: self.id,
            agent: self.agent,
            from_sequence: self.chunks.len() as u64,
            wait_ms,
        };
        client.read(context_for(call_timeout(wait_ms)), request).await
    }

    fn take(&mut self, reply: AttemptReply, on_chunk: &mut (impl FnMut(&Bytes) + Send)) -> Step {
        if reply.attempt != self.id || reply.feedback.incarnation != self.agent {
            return Step::Failed(lost(Reason::AgentLost));
        }
        self.link.observe(reply.feedback);
        match reply.state {
            AttemptState::Accepted(page) => self.take_page(page, on_chunk),
            AttemptState::NotRun(refusal) => Step::Failed(refusal),
            AttemptState::StaleVersions => {
                Step::Failed(Refusal::not_run(Reason::NoConfiguration, LOST_RETRY_AFTER_MS))
            }
            AttemptState::Unknown => Step::Failed(lost(Reason::UnknownAttempt)),
        }
    }

    fn take_page(&mut self, page: OutputPage, on_chunk: &mut (impl FnMut(&Bytes) + Send)) -> Step {
        let have = self.chunks.len() as u64;
        for (offset, chunk) in page.chunks.into_iter().enumerate() {
            if page.first_sequence + (offset as u64) < have {
                continue;
            }
            on_chunk(&chunk);
            self.chunks.push(chunk);
        }
        match page.progress {
            Progress::Completed(completion)
                if completion.chunk_count == self.chunks.len() as u64 =>
            {
                Step::Done(completion)
            }
            Progress::Failed(failure) => Step::Failed(Refusal {
                reason: failure.reason,
                execution: failure.execution,
                retry_after_ms: LOST_RETRY_AFTER_MS,
            }),
            _ => Step::More,
        }
    }

    /// Cancels the attempt; returns true when the agent confirms that it was never dispatched.
    async fn cancel(&self, client: &AgentClient) -> bool {
        let request = CancelRequest {
            versions: self.entry.versions(),
            attempt: self.id,
            agent: self.agent,
            dispatch_by_ms: self.dispatch_by_ms,
        };
        let Ok(reply) = client.cancel(context_for(CALL_MARGIN), request).await else {
            return false;
        };
        matches!(reply.state, AttemptState::NotRun(_)) && reply.feedback.incarnation == self.agent
    }

    /// Cancels the attempt and reports what the agent confirms about it.
    async fn give_up(&self, reason: Reason) -> Refusal {
        let Some((client, _)) = self.link.connection() else { return lost(reason) };
        let confirmed = self.cancel(&client).await;
        info!(attempt:% = self.id, reason:% = reason, confirmed = confirmed; "attempt given up");
        if confirmed { Refusal::not_run(reason, LOST_RETRY_AFTER_MS) } else { lost(reason) }
    }
}

fn lost(reason: Reason) -> Refusal {
    Refusal { reason, execution: Execution::Unknown, retry_after_ms: LOST_RETRY_AFTER_MS }
}

fn call_timeout(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms) + CALL_MARGIN
}
