//! Runs non-idempotent calls at most once, by means of a claim stored on the platform.
//!
//! [`ClaimFlow`] makes the decisions; this module carries out the platform calls and dispatches
//! that the flow requests. Each flow runs in its own task, so that it records the outcome in the
//! claim even after the caller has disconnected.

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

/// Retry-After of refusals made here, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// A non-idempotent call.
pub(crate) struct ClaimedCall {
    /// Environment document in force when the call arrived.
    pub(crate) document: Arc<Document>,
    /// Service to call.
    pub(crate) service: Service,
    /// The caller's request.
    pub(crate) request: RequestContext,
    /// Idempotency key set by the caller.
    pub(crate) key: String,
    /// Whether the caller states that no other copy of the call was or will be sent.
    pub(crate) only_copy: bool,
    /// HTTP call to the upstream.
    pub(crate) call: UpstreamCall,
}

/// State shared by the platform calls and dispatches of a flow.
struct CallContext {
    entry: Arc<Entry>,
    call: ClaimedCall,
}

/// Runs a claim flow by carrying out its platform calls and dispatches.
struct ClaimDriver {
    context: Arc<CallContext>,
    flow: ClaimFlow,
    /// Versions of the claim returned by the platform; the flow refers to them by their position,
    /// counted from one.
    versions: Vec<ResourceVersion>,
    tried: Vec<UpstreamKey>,
    reply: Option<oneshot::Sender<ClaimReply>>,
    /// Platform call or dispatch in progress; the flow requests the next one only after its end.
    work: FuturesUnordered<PendingWork>,
}

type PendingWork = Pin<Box<dyn Future<Output = WorkResult> + Send>>;

/// Result of a platform call or a dispatch.
enum WorkResult {
    Written(Result<Object<ClaimRecord>, PlatformError>),
    Read(Result<Option<Object<ClaimRecord>>, PlatformError>),
    Dispatched(u16, DispatchResult, Vec<UpstreamKey>),
}

/// Runs a call at most once, or returns what is known about an earlier run of it.
///
/// # Errors
///
/// Returns a refusal without creating a claim if the request is quarantined, or if it is a suspect
/// and another copy is in progress. Returns a refusal with unknown execution if the flow's task
/// ended without a reply.
pub(crate) async fn run(entry: &Arc<Entry>, call: ClaimedCall) -> Result<ClaimReply, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let now_ms = entry.clock.now_ms();
    let in_progress = entry.strikes.start(call.request.fingerprint, now_ms);
    let in_progress = in_progress.map_err(|it| refusal_before_claim(it, &call))?;
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
    info!(request:% = call.request.id, claim:% = request.name; "starting a claim flow");
    let open_claim = entry.begin_claim();
    let driver = ClaimDriver {
        context: Arc::new(CallContext { entry: entry.clone(), call }),
        flow: ClaimFlow::new(request),
        versions: Vec::new(),
        tried: Vec::new(),
        reply: Some(sender),
        work: FuturesUnordered::new(),
    };
    tokio::spawn(async move {
        driver.run().await;
        drop((open_claim, in_progress));
    });
    receiver.await.map_err(|_| Refusal {
        reason: Reason::Cancelled,
        execution: Execution::Unknown,
        retry_after_ms: RETRY_AFTER_MS,
    })
}

/// Adjusts a refusal made before the claim was read: unless this is the only copy, another one may
/// have run.
fn refusal_before_claim(refusal: Refusal, call: &ClaimedCall) -> Refusal {
    let execution = if call.only_copy { Execution::NotRun } else { Execution::Unknown };
    Refusal { execution, ..refusal }
}

impl ClaimDriver {
    async fn run(mut self) {
        let mut event = ClaimEvent::Start;
        loop {
            let now_ms = self.context.entry.clock.now_ms();
            for action in self.flow.handle(event, now_ms) {
                self.start(action);
            }
            if self.flow.is_finished() {
                return;
            }
            event = self.next_event().await;
        }
    }

    /// Waits for the end of the work in progress or for the flow's next tick.
    async fn next_event(&mut self) -> ClaimEvent {
        let now_ms = self.context.entry.clock.now_ms();
        let at_ms = self.flow.next_tick_ms().unwrap_or(now_ms);
        let tick = tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms)));
        let result = tokio::select! {
            Some(result) = self.work.next() => result,
            () = tick => return ClaimEvent::Tick,
        };
        self.handle_result(result)
    }

    fn start(&mut self, action: ClaimAction) {
        let context = self.context.clone();
        let work: PendingWork = match action {
            ClaimAction::CreateClaim { name, record } => {
                Box::pin(async move { context.create(&name, &record).await })
            }
            ClaimAction::ReadClaim { name } => Box::pin(async move { context.read(&name).await }),
            ClaimAction::UpdateClaim { name, record, expected_version } => {
                let expected = self.recorded_version(expected_version);
                Box::pin(async move { context.update(&name, &record, expected).await })
            }
            ClaimAction::Dispatch(permission) => {
                let tried = self.tried.clone();
                Box::pin(async move { context.dispatch(permission, tried).await })
            }
            ClaimAction::Reply(reply) => return self.send_reply(reply),
        };
        self.work.push(work);
    }

    fn handle_result(&mut self, result: WorkResult) -> ClaimEvent {
        match result {
            WorkResult::Written(Ok(object)) => {
                ClaimEvent::Written { version: self.record_version(object.resource_version) }
            }
            WorkResult::Written(Err(error)) => write_failed(&error),
            WorkResult::Read(Ok(Some(object))) => ClaimEvent::Found {
                record: object.spec,
                version: self.record_version(object.resource_version),
            },
            WorkResult::Read(Ok(None)) => ClaimEvent::Absent,
            WorkResult::Read(Err(error)) => {
                warn!(request:% = self.context.call.request.id, error:% = error; "reading the claim failed");
                ClaimEvent::ReadUnavailable
            }
            WorkResult::Dispatched(number, result, tried) => {
                self.tried = tried;
                ClaimEvent::Dispatch { number, result }
            }
        }
    }

    /// Stores a version returned by the platform and returns its position, as the flow expects it.
    fn record_version(&mut self, version: ResourceVersion) -> u64 {
        self.versions.push(version);
        self.versions.len() as u64
    }

    fn recorded_version(&self, number: u64) -> ResourceVersion {
        self.versions[number as usize - 1].clone()
    }

    fn send_reply(&mut self, reply: ClaimReply) {
        let Some(sender) = self.reply.take() else { return };
        // A send fails only when the caller has disconnected.
        let _ = sender.send(reply);
    }
}

impl CallContext {
    async fn create(&self, name: &ClaimName, record: &ClaimRecord) -> WorkResult {
        let client = &self.entry.platform;
        WorkResult::Written(client.create(Kind::Claims, &name.to_string(), record).await)
    }

    async fn read(&self, name: &ClaimName) -> WorkResult {
        WorkResult::Read(self.entry.platform.get(Kind::Claims, &name.to_string()).await)
    }

    async fn update(
        &self,
        name: &ClaimName,
        record: &ClaimRecord,
        expected: ResourceVersion,
    ) -> WorkResult {
        let client = &self.entry.platform;
        WorkResult::Written(client.update(Kind::Claims, &name.to_string(), &expected, record).await)
    }

    async fn dispatch(
        &self,
        permission: DispatchPermission,
        mut tried: Vec<UpstreamKey>,
    ) -> WorkResult {
        let number = permission.number();
        let result = match self.dispatch_once(permission, &mut tried).await {
            Ok(output) => {
                service::record_usage(&self.entry, &self.call.request, &output);
                DispatchResult::Completed(call_response(output))
            }
            Err(failure) => dispatch_failure(failure),
        };
        WorkResult::Dispatched(number, result, tried)
    }

    async fn dispatch_once(
        &self,
        permission: DispatchPermission,
        tried: &mut Vec<UpstreamKey>,
    ) -> Result<Output, Failure> {
        let call = &self.call;
        let work = service::stage_work(&call.document, &call.service, call.call.clone())?;
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
        | PlatformError::Restored { .. }
        | PlatformError::TooLarge { .. }
        | PlatformError::Invalid { .. } => {
            warn!(error:% = error; "writing the claim failed");
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

fn call_response(output: Output) -> CallResponse {
    CallResponse {
        status: output.completion.status,
        content_type: output.completion.content_type,
        body: RecordedBody::Whole(output.chunks.concat().into()),
    }
}
