//! State machine of one request at one entry: claim the call, dispatch it, record the outcome.

use crate::{
    at_most_once::{
        ClaimAction, ClaimEvent, ClaimName, ClaimRecord, ClaimReply, ClaimState, ClaimToken,
        DispatchResult,
    },
    ids::{Digest, Incarnation},
    outcome::{Execution, Reason, Refusal},
    sabotage::{Mechanisms, Sabotage},
};

/// Time within which a write with a lost response has to be confirmed while the caller waits, in
/// milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;

/// A non-idempotent call as received by one entry. All times are on the entry's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Name of the claim, from [`claim_name`](super::claim_name).
    pub name: ClaimName,
    /// Random token, unique to this request.
    pub token: ClaimToken,
    /// Incarnation of this entry.
    pub claimant: Incarnation,
    /// Digest of the customer, target and body of the call.
    pub fingerprint: Digest,
    /// Whether the caller declares that it has sent no other copy of the call and will send none
    /// before it has the reply to this one.
    pub only_copy: bool,
    /// Dispatch limit, in milliseconds; no later than the deadline.
    pub dispatch_by_ms: u64,
    /// Deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// Time after which a refused caller may try again, in milliseconds.
    pub retry_after_ms: u64,
}

/// State machine that claims a call, dispatches it and records its outcome in the claim.
///
/// At most one platform call and one dispatch are in progress at any time. The flow continues after
/// its reply until the outcome of the call is recorded in the claim.
#[derive(Debug)]
pub struct ClaimFlow {
    pub(crate) request: ClaimRequest,
    pub(crate) phase: Phase,
    pub(crate) goal: Goal,
    pub(crate) precondition: Precondition,
    pub(crate) epoch: u32,
    /// Whether no other copy of the call is known; initially as declared by the caller.
    pub(crate) only_copy: bool,
    /// Whether a write that acquires the claim may have taken effect or may still do so.
    pub(crate) acquire_unconfirmed: bool,
    /// Latest time at which an unconfirmed write has to be confirmed to allow a dispatch, in
    /// milliseconds.
    pub(crate) confirm_by_ms: u64,
    pub(crate) replied: bool,
    pub(crate) dispatch_count: u16,
    pub(crate) mechanisms: Mechanisms,
}

/// What the flow is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    New,
    Writing(Purpose),
    Reading,
    Waiting { until_ms: u64 },
    Dispatched,
    Finished,
}

/// Purpose of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Acquire,
    RecordOutcome,
}

/// Goal of the flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Goal {
    /// Acquire the claim and dispatch the call.
    Acquire,
    /// Record this state in the claim.
    RecordOutcome(ClaimState),
}

/// Precondition of the next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    Absent,
    Version(u64),
}

impl ClaimFlow {
    /// Creates the flow of one request; it begins with [`ClaimEvent::Start`].
    pub fn new(request: ClaimRequest) -> Self {
        Self {
            only_copy: request.only_copy,
            request,
            phase: Phase::New,
            goal: Goal::Acquire,
            precondition: Precondition::Absent,
            epoch: 1,
            acquire_unconfirmed: false,
            confirm_by_ms: u64::MAX,
            replied: false,
            dispatch_count: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates a flow with one safety mechanism disabled.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(request: ClaimRequest, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(request) }
    }

    /// Handles an event and returns the resulting actions; unexpected events are ignored.
    pub fn handle(&mut self, event: ClaimEvent, now_ms: u64) -> Vec<ClaimAction> {
        match (event, self.phase) {
            (ClaimEvent::Start, Phase::New) => self.write(),
            (ClaimEvent::Written { version }, Phase::Writing(purpose)) => {
                self.on_written(purpose, version, now_ms)
            }
            (ClaimEvent::Conflict, Phase::Writing(purpose)) => self.on_conflict(purpose, now_ms),
            (ClaimEvent::WriteLost, Phase::Writing(purpose)) => self.on_lost(purpose, now_ms),
            (ClaimEvent::WriteUnavailable, Phase::Writing(purpose)) => {
                self.on_write_unavailable(purpose, now_ms)
            }
            (ClaimEvent::Exists { record, version }, Phase::Writing(_))
            | (ClaimEvent::Found { record, version }, Phase::Reading) => {
                self.on_found(&record, version, now_ms)
            }
            (ClaimEvent::Absent, Phase::Reading) => self.on_absent(now_ms),
            (ClaimEvent::ReadUnavailable, Phase::Reading) => self.wait(now_ms),
            (ClaimEvent::Dispatch { number, result }, Phase::Dispatched) => {
                self.on_dispatch_result(number, result, now_ms)
            }
            (ClaimEvent::Tick, _) => self.on_tick(now_ms),
            _ => Vec::new(),
        }
    }

    /// Returns the time at which the flow needs a [`ClaimEvent::Tick`], in milliseconds.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let limit_ms = match self.phase {
            Phase::Finished => return None,
            _ if self.replied => self.record_by_ms().saturating_add(1),
            Phase::Dispatched => self.request.deadline_ms,
            _ => self.request.dispatch_by_ms.min(self.confirm_by_ms).saturating_add(1),
        };
        match self.phase {
            Phase::Waiting { until_ms } => Some(limit_ms.min(until_ms)),
            _ => Some(limit_ms),
        }
    }

    /// Returns whether the flow is finished.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn on_written(&mut self, purpose: Purpose, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        self.acquire_unconfirmed = false;
        match purpose {
            Purpose::Acquire => self.on_claim_held(version, now_ms),
            Purpose::RecordOutcome => self.finish(),
        }
    }

    fn on_conflict(&mut self, purpose: Purpose, now_ms: u64) -> Vec<ClaimAction> {
        if !self.mechanisms.has(Sabotage::ConditionalUpdate) {
            return self.on_written(purpose, 0, now_ms);
        }
        self.read()
    }

    fn on_lost(&mut self, purpose: Purpose, now_ms: u64) -> Vec<ClaimAction> {
        if !self.mechanisms.has(Sabotage::ReadBack) {
            return self.on_written(purpose, 0, now_ms);
        }
        if purpose == Purpose::Acquire {
            self.acquire_unconfirmed = true;
            self.confirm_by_ms = self.confirm_by_ms.min(now_ms.saturating_add(CONFIRM_TIMEOUT_MS));
        }
        self.read()
    }

    fn on_write_unavailable(&mut self, purpose: Purpose, now_ms: u64) -> Vec<ClaimAction> {
        if purpose == Purpose::RecordOutcome || self.acquire_unconfirmed {
            return self.wait(now_ms);
        }
        let mut actions = self.refuse_unconfirmed();
        actions.extend(self.finish());
        actions
    }

    fn on_found(&mut self, record: &ClaimRecord, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        let compares_tokens = self.mechanisms.has(Sabotage::TokenComparison);
        let is_claimed = record.state == ClaimState::Claimed;
        if record.token == self.request.token || (is_claimed && !compares_tokens) {
            self.acquire_unconfirmed = false;
            self.epoch = record.epoch;
            // Only this flow records an outcome under its token, so the state is the intended one.
            return if is_claimed { self.on_claim_held(version, now_ms) } else { self.finish() };
        }
        // Another copy exists, regardless of what the caller declared.
        self.only_copy = false;
        match &self.goal {
            Goal::Acquire => self.on_foreign_claim(record, version, now_ms),
            // Updating the released claim changes its version, so that a delayed takeover by this
            // flow can no longer take effect.
            Goal::RecordOutcome(ClaimState::NotRun)
                if self.may_still_take_effect() && record.state == ClaimState::NotRun =>
            {
                self.overwrite(record, version)
            }
            Goal::RecordOutcome(_) => self.finish(),
        }
    }

    /// Handles a claim that another request holds or has released.
    fn on_foreign_claim(
        &mut self,
        record: &ClaimRecord,
        version: u64,
        now_ms: u64,
    ) -> Vec<ClaimAction> {
        if record.fingerprint != self.request.fingerprint {
            return self.reply_and_finish(ClaimReply::KeyReused);
        }
        match record.state.clone() {
            ClaimState::NotRun if self.is_expired(now_ms) => self.abandon(now_ms),
            ClaimState::NotRun => self.overwrite(record, version),
            ClaimState::Claimed => {
                let execution = if self.mechanisms.has(Sabotage::ForeignClaimUnknown) {
                    Execution::Unknown
                } else {
                    Execution::NotRun
                };
                self.refuse_and_finish(Reason::KeyClaimed, execution)
            }
            ClaimState::Done(response) => self.reply_and_finish(ClaimReply::Response(response)),
            ClaimState::Failed { reason } => self.refuse_and_finish(reason, Execution::Failed),
            ClaimState::Unknown { reason } => self.refuse_and_finish(reason, Execution::Unknown),
        }
    }

    fn on_absent(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let may_create = self.precondition == Precondition::Absent;
        match &self.goal {
            Goal::Acquire if self.is_expired(now_ms) => self.abandon(now_ms),
            Goal::Acquire if may_create => self.write(),
            // A claim that existed before is gone, and with it the outcome of the call.
            Goal::Acquire => self.refuse_and_finish(Reason::KeyClaimed, Execution::Unknown),
            Goal::RecordOutcome(ClaimState::NotRun)
                if may_create && self.may_still_take_effect() =>
            {
                self.write()
            }
            Goal::RecordOutcome(_) => self.finish(),
        }
    }

    /// Continues once the claim is confirmed to hold this flow's token.
    fn on_claim_held(&mut self, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        self.precondition = Precondition::Version(version);
        if matches!(self.goal, Goal::RecordOutcome(_)) {
            return self.write();
        }
        if self.is_expired(now_ms) {
            let refusal = Refusal::not_run(Reason::DispatchExpired, self.request.retry_after_ms);
            return self.reply_and_record(ClaimReply::Refused(refusal), ClaimState::NotRun);
        }
        self.dispatch()
    }

    fn on_dispatch_result(
        &mut self,
        number: u16,
        result: DispatchResult,
        now_ms: u64,
    ) -> Vec<ClaimAction> {
        // A repeated result of an earlier dispatch says nothing about the current one.
        if number != self.dispatch_count && self.mechanisms.has(Sabotage::DispatchNumber) {
            return Vec::new();
        }
        let retry_after_ms = self.request.retry_after_ms;
        let refused =
            |reason, execution| ClaimReply::Refused(Refusal { reason, execution, retry_after_ms });
        match result {
            DispatchResult::NotRun { try_again: true, .. }
                if !self.replied && !self.is_expired(now_ms) =>
            {
                self.dispatch()
            }
            DispatchResult::NotRun { reason, retry_after_ms, .. } => {
                let refusal = Refusal::not_run(reason, retry_after_ms);
                self.reply_and_record(ClaimReply::Refused(refusal), ClaimState::NotRun)
            }
            DispatchResult::Completed(response) => {
                let state = ClaimState::Done(response.recorded());
                self.reply_and_record(ClaimReply::Response(response), state)
            }
            DispatchResult::Failed { reason } => self.reply_and_record(
                refused(reason, Execution::Failed),
                ClaimState::Failed { reason },
            ),
            DispatchResult::Lost { reason } => {
                let state = if self.mechanisms.has(Sabotage::ReleaseOnlyConfirmed) {
                    ClaimState::Unknown { reason }
                } else {
                    ClaimState::NotRun
                };
                self.reply_and_record(refused(reason, Execution::Unknown), state)
            }
        }
    }

    fn on_tick(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        if self.replied && now_ms > self.record_by_ms() {
            return self.finish();
        }
        match self.phase {
            Phase::Finished => Vec::new(),
            Phase::Dispatched if now_ms >= self.request.deadline_ms => {
                self.refuse(Reason::DeadlineExpired, Execution::Unknown)
            }
            Phase::Dispatched => Vec::new(),
            Phase::New if self.is_expired(now_ms) => {
                let mut actions = self.refuse_unconfirmed();
                actions.extend(self.finish());
                actions
            }
            Phase::New => Vec::new(),
            Phase::Waiting { until_ms } if now_ms >= until_ms => {
                let mut actions = self.abandon_if_expired(now_ms);
                actions.extend(self.read());
                actions
            }
            _ => self.abandon_if_expired(now_ms),
        }
    }
}
