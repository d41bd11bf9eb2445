//! Drives the claim of a call that may not be repeated.
//!
//! The decisions are those of [`ClaimFlow`]; this module makes the platform calls and dispatches
//! that it asks for. A flow runs in a task of its own, so that it settles its claim even when the
//! caller goes away.

use std::{pin::Pin, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use log::{info, warn};
use tokio::sync::oneshot;
use yuccatrail_core::{
    at_most_once::{
        CallResponse, ClaimAction, ClaimEvent, ClaimFlow, ClaimName, ClaimRecord, ClaimReply,
        ClaimRequest, ClaimToken, DispatchPermission, DispatchResult, RecordedBody, claim_name,
    },
    document::{Document, Service},
    membership::UpstreamKey,
    outcome::{Execution, Reason, Refusal},
};
use yuccatrail_platform::{Kind, Object, PlatformError, ResourceVersion};
use yuccatrail_rpc::messages::UpstreamCall;

use super::{Failure, RequestContext, attempt::Output, service, stage};
use crate::{entry::Entry, policy};

/// Time after which a refused caller may try again, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// A call that may not be repeated.
pub(crate) struct ClaimedCall {
    /// Document in force when the call arrived.
    pub(crate) document: Arc<Document>,
    /// The service.
    pub(crate) service: Service,
    /// The request.
    pub(crate) request: RequestContext,
    /// The caller's idempotency key.
    pub(crate) key: String,
    /// Whether the caller states that this is the only copy of the call.
    pub(crate) only_copy: bool,
    /// The upstream call.
    pub(crate) call: UpstreamCall,
}

/// What the platform calls and dispatches of a flow share.
struct Shared {
    entry: Arc<Entry>,
    call: ClaimedCall,
}

/// A claim flow with its platform calls and dispatches.
struct Driver {
    shared: Arc<Shared>,
    flow: ClaimFlow,
    /// Versions of the claim that the platform returned; the flow knows them by their position.
    versions: Vec<ResourceVersion>,
    tried: Vec<UpstreamKey>,
    reply: Option<oneshot::Sender<ClaimReply>>,
    /// Platform call or dispatch under way; the flow asks for the next one only after its end.
    work: FuturesUnordered<Work>,
}

type Work = Pin<Box<dyn Future<Output = WorkDone> + Send>>;

/// Result of a platform call or a dispatch.
enum WorkDone {
    Written(Result<Object<ClaimRecord>, PlatformError>),
    Read(Result<Option<Object<ClaimRecord>>, PlatformError>),
    Dispatched(u16, DispatchResult, Vec<UpstreamKey>),
}

/// Runs a call at most once, or reports what became of it.
///
/// # Errors
///
/// Returns a refusal before the claim is made when the request does not fit or is quarantined.
pub(crate) async fn run(entry: &Arc<Entry>, call: ClaimedCall) -> Result<ClaimReply, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let now_ms = entry.clock.now_ms();
    let in_progress = entry.strikes.start(call.request.fingerprint, now_ms);
    let in_progress = in_progress.map_err(|it| copy_refusal(it, &call))?;
    let request = ClaimRequest {
        name: claim_name(&call.request.customer, &call.service.name, &call.key),
        token: ClaimToken(rand::random()),
        claimant: entry.incarnation,
        fingerprint: call.request.fingerprint,
        only_copy: call.only_copy,
        dispatch_by_ms: call.request.deadline_ms,
        deadline_ms: call.request.deadline_ms,
        retry_after_ms: RETRY_AFTER_MS,
    };
    info!(request:% = call.request.id, claim:% = request.name; "claiming call");
    let settling = entry.begin_settling();
    let driver = Driver {
        shared: Arc::new(Shared { entry: entry.clone(), call }),
        flow: ClaimFlow::new(request),
        versions: Vec::new(),
        tried: Vec::new(),
        reply: Some(sender),
        work: FuturesUnordered::new(),
    };
    tokio::spawn(async move {
        driver.run().await;
        drop((settling, in_progress));
    });
    receiver.await.map_err(|_| Refusal {
        reason: Reason::Cancelled,
        execution: Execution::Unknown,
        retry_after_ms: RETRY_AFTER_MS,
    })
}

/// Restates a refusal made without a look at the claim: another copy may have run.
fn copy_refusal(refusal: Refusal, call: &ClaimedCall) -> Refusal {
    let execution = if call.only_copy { Execution::NotRun } else { Execution::Unknown };
    Refusal { execution, ..refusal }
}

impl Driver {
    async fn run(mut self) {
        let mut event = ClaimEvent::Start;
        loop {
            let now_ms = self.shared.entry.clock.now_ms();
            for action in self.flow.handle(event, now_ms) {
                self.start(action);
            }
            if self.flow.is_finished() {
                return;
            }
            event = self.next_event().await;
        }
    }

    /// Waits for the end of the work under way or for the flow's next tick.
    async fn next_event(&mut self) -> ClaimEvent {
        let now_ms = self.shared.entry.clock.now_ms();
        let at_ms = self.flow.next_tick_ms().unwrap_or(now_ms);
        let tick = tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms)));
        let done = tokio::select! {
            Some(done) = self.work.next() => done,
            () = tick => return ClaimEvent::Tick,
        };
        self.event(done)
    }

    fn start(&mut self, action: ClaimAction) {
        let shared = self.shared.clone();
        let work: Work = match action {
            ClaimAction::CreateClaim { name, record } => {
                Box::pin(async move { shared.create(&name, &record).await })
            }
            ClaimAction::ReadClaim { name } => Box::pin(async move { shared.read(&name).await }),
            ClaimAction::UpdateClaim { name, record, expected_version } => {
                let from = self.version(expected_version);
                Box::pin(async move { shared.update(&name, &record, from).await })
            }
            ClaimAction::Dispatch(permission) => {
                let tried = self.tried.clone();
                Box::pin(async move { shared.dispatch(permission, tried).await })
            }
            ClaimAction::Reply(reply) => return self.answer(reply),
        };
        self.work.push(work);
    }

    fn event(&mut self, done: WorkDone) -> ClaimEvent {
        match done {
            WorkDone::Written(Ok(object)) => {
                ClaimEvent::Written { version: self.note(object.resource_version) }
            }
            WorkDone::Written(Err(error)) => write_failed(&error),
            WorkDone::Read(Ok(Some(object))) => ClaimEvent::Found {
                record: object.spec,
                version: self.note(object.resource_version),
            },
            WorkDone::Read(Ok(None)) => ClaimEvent::Absent,
            WorkDone::Read(Err(error)) => {
                warn!(request:% = self.shared.call.request.id, error:% = error; "claim not read");
                ClaimEvent::ReadUnavailable
            }
            WorkDone::Dispatched(number, result, tried) => {
                self.tried = tried;
                ClaimEvent::Dispatch { number, result }
            }
        }
    }

    /// Keeps a version of the platform and returns the number under which the flow knows it.
    fn note(&mut self, version: ResourceVersion) -> u64 {
        self.versions.push(version);
        self.versions.len() as u64
    }

    fn version(&self, number: u64) -> ResourceVersion {
        self.versions[number as usize - 1].clone()
    }

    fn answer(&mut self, reply: ClaimReply) {
        let Some(sender) = self.reply.take() else { return };
        // A send fails only when the caller has gone away.
        let _ = sender.send(reply);
    }
}

impl Shared {
    async fn create(&self, name: &ClaimName, record: &ClaimRecord) -> WorkDone {
        let client = &self.entry.platform;
        WorkDone::Written(client.create(Kind::Claims, &name.to_string(), record).await)
    }

    async fn read(&self, name: &ClaimName) -> WorkDone {
        WorkDone::Read(self.entry.platform.get(Kind::Claims, &name.to_string()).await)
    }

    async fn update(
        &self,
        name: &ClaimName,
        record: &ClaimRecord,
        from: ResourceVersion,
    ) -> WorkDone {
        let client = &self.entry.platform;
        WorkDone::Written(client.update(Kind::Claims, &name.to_string(), &from, record).await)
    }

    async fn dispatch(
        &self,
        permission: DispatchPermission,
        mut tried: Vec<UpstreamKey>,
    ) -> WorkDone {
        let number = permission.number();
        let result = match self.dispatch_once(permission, &mut tried).await {
            Ok(output) => {
                service::account(&self.entry, &self.call.request, &output);
                DispatchResult::Completed(answer(output))
            }
            Err(failure) => dispatch_failure(failure),
        };
        WorkDone::Dispatched(number, result, tried)
    }

    async fn dispatch_once(
        &self,
        permission: DispatchPermission,
        tried: &mut Vec<UpstreamKey>,
    ) -> Result<Output, Failure> {
        let call = &self.call;
        let work = service::work(&call.document, &call.service, call.call.clone())?;
        let admitted = policy::admit(&self.entry, &call.document, &call.request, &[work.demand])?;
        admitted.stage_sent();
        let number = permission.number();
        let Some(dispatch_by_ms) = permission.redeem(self.entry.clock.now_ms()) else {
            return Err(Refusal::not_run(Reason::DispatchExpired, RETRY_AFTER_MS).into());
        };
        stage::run_once(&self.entry, &call.request, &work, number, tried, dispatch_by_ms).await
    }
}

fn write_failed(error: &PlatformError) -> ClaimEvent {
    match error {
        PlatformError::AlreadyExists { .. } | PlatformError::Conflict { .. } => {
            ClaimEvent::Conflict
        }
        PlatformError::AnswerLost { .. } => ClaimEvent::WriteLost,
        PlatformError::Unavailable { .. }
        | PlatformError::Gone { .. }
        | PlatformError::TooLarge { .. }
        | PlatformError::Invalid { .. } => {
            warn!(error:% = error; "claim not written");
            ClaimEvent::WriteUnavailable
        }
    }
}

fn dispatch_failure(failure: Failure) -> DispatchResult {
    let refusal = failure.refusal;
    match refusal.execution {
        Execution::NotRun => {
            let try_again = !matches!(
                refusal.reason,
                Reason::DeadlineExpired
                    | Reason::DeadlineUnreachable
                    | Reason::Quarantined
                    | Reason::NoUpstream
            );
            not_run(refusal, try_again)
        }
        Execution::Failed => DispatchResult::Failed { reason: refusal.reason },
        Execution::Unknown => DispatchResult::Lost { reason: refusal.reason },
    }
}

fn not_run(refusal: Refusal, try_again: bool) -> DispatchResult {
    DispatchResult::NotRun {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms,
        try_again,
    }
}

fn answer(output: Output) -> CallResponse {
    CallResponse {
        status: output.completion.status,
        content_type: output.completion.content_type,
        body: RecordedBody::Whole(output.chunks.concat().into()),
    }
}
