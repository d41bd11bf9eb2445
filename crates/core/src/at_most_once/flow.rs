//! Flow of one request through claim, dispatch and settlement at one entry.

use crate::{
    at_most_once::{
        ClaimAction, ClaimEvent, ClaimName, ClaimRecord, ClaimReply, ClaimState, ClaimToken,
        DispatchResult,
    },
    ids::{Digest, Incarnation},
    outcome::{Execution, Reason, Refusal},
    sabotage::{Mechanisms, Sabotage},
};

/// Time for which a caller waits until a lost answer of the platform is settled, in milliseconds.
const UNSETTLED_LIMIT_MS: u64 = 1_000;

/// A call that may not be repeated, as one entry received it. All times are on the entry's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Name of the claim, from [`claim_name`](super::claim_name).
    pub name: ClaimName,
    /// Token drawn at random for this request alone.
    pub token: ClaimToken,
    /// The run of this entry.
    pub claimant: Incarnation,
    /// Digest of the customer, target and body of the call.
    pub fingerprint: Digest,
    /// Whether the caller states that it has sent no other copy of the call, and will send none
    /// before this one is answered.
    pub only_copy: bool,
    /// Latest time of dispatch, in milliseconds; no later than the deadline.
    pub dispatch_by_ms: u64,
    /// End of the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Time after which a refused caller may try again, in milliseconds.
    pub retry_after_ms: u64,
}

/// Takes one request through claim, dispatch and settlement.
///
/// At most one platform call and one dispatch are under way at any time. The flow goes on after its
/// reply until the claim tells what became of the call.
#[derive(Debug)]
pub struct ClaimFlow {
    pub(crate) request: ClaimRequest,
    pub(crate) phase: Phase,
    pub(crate) goal: Goal,
    pub(crate) base: Base,
    pub(crate) epoch: u32,
    pub(crate) only_copy: bool,
    pub(crate) acquire_unsettled: bool,
    /// Latest time at which a lost answer has to be settled for a dispatch, in milliseconds.
    pub(crate) claim_by_ms: u64,
    pub(crate) replied: bool,
    pub(crate) dispatches: u16,
    pub(crate) mechanisms: Mechanisms,
}

/// What the flow waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    New,
    Writing(Purpose),
    Reading,
    Waiting { until_ms: u64 },
    Dispatched,
    Finished,
}

/// Why a write was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Acquire,
    Settle,
}

/// What the flow works towards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Goal {
    /// Hold the claim and dispatch.
    Acquire,
    /// Leave this state in the claim.
    Settle(ClaimState),
}

/// What the next write is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Base {
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
            base: Base::Absent,
            epoch: 1,
            acquire_unsettled: false,
            claim_by_ms: u64::MAX,
            replied: false,
            dispatches: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates a flow with one safety mechanism switched off.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(request: ClaimRequest, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(request) }
    }

    /// Takes an event and returns what to do; an event that the flow does not wait for is ignored.
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

    /// Returns the time at which the flow wants a [`ClaimEvent::Tick`], in milliseconds.
    pub fn next_tick_ms(&self) -> Option<u64> {
        let limit_ms = match self.phase {
            Phase::Finished => return None,
            _ if self.replied => self.settle_by_ms().saturating_add(1),
            Phase::Dispatched => self.request.deadline_ms,
            _ => self.request.dispatch_by_ms.min(self.claim_by_ms).saturating_add(1),
        };
        match self.phase {
            Phase::Waiting { until_ms } => Some(limit_ms.min(until_ms)),
            _ => Some(limit_ms),
        }
    }

    /// Tells whether the flow has nothing left to do.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn on_written(&mut self, purpose: Purpose, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        self.acquire_unsettled = false;
        match purpose {
            Purpose::Acquire => self.on_held(version, now_ms),
            Purpose::Settle => self.finish(),
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
            self.acquire_unsettled = true;
            self.claim_by_ms = self.claim_by_ms.min(now_ms.saturating_add(UNSETTLED_LIMIT_MS));
        }
        self.read()
    }

    fn on_write_unavailable(&mut self, purpose: Purpose, now_ms: u64) -> Vec<ClaimAction> {
        if purpose == Purpose::Settle || self.acquire_unsettled {
            return self.wait(now_ms);
        }
        let mut actions = self.refuse_unsettled();
        actions.extend(self.finish());
        actions
    }

    fn on_found(&mut self, record: &ClaimRecord, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        let compares_tokens = self.mechanisms.has(Sabotage::TokenComparison);
        let is_claimed = record.state == ClaimState::Claimed;
        if record.token == self.request.token || (is_claimed && !compares_tokens) {
            self.acquire_unsettled = false;
            self.epoch = record.epoch;
            // The settled state is only ever written by this flow, so it is the wanted one.
            return if is_claimed { self.on_held(version, now_ms) } else { self.finish() };
        }
        // Another copy exists, whatever the caller stated.
        self.only_copy = false;
        match &self.goal {
            Goal::Acquire => self.on_foreign(record, version, now_ms),
            // Rewriting the released claim keeps a late takeover by this flow from taking effect.
            Goal::Settle(ClaimState::NotRun)
                if self.may_land_late() && record.state == ClaimState::NotRun =>
            {
                self.write_over(record, version)
            }
            Goal::Settle(_) => self.finish(),
        }
    }

    /// Decides about a claim that another request holds or held.
    fn on_foreign(&mut self, record: &ClaimRecord, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        if record.fingerprint != self.request.fingerprint {
            return self.reply_and_finish(ClaimReply::KeyReused);
        }
        match record.state.clone() {
            ClaimState::NotRun if self.is_expired(now_ms) => self.give_up(now_ms),
            ClaimState::NotRun => self.write_over(record, version),
            ClaimState::Claimed => {
                let execution = if self.mechanisms.has(Sabotage::ForeignClaimUnknown) {
                    Execution::Unknown
                } else {
                    Execution::NotRun
                };
                self.refuse_and_finish(Reason::KeyClaimed, execution)
            }
            ClaimState::Done(answer) => self.reply_and_finish(ClaimReply::Response(answer)),
            ClaimState::Failed { reason } => self.refuse_and_finish(reason, Execution::Failed),
            ClaimState::Unknown { reason } => self.refuse_and_finish(reason, Execution::Unknown),
        }
    }

    fn on_absent(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let may_create = self.base == Base::Absent;
        match &self.goal {
            Goal::Acquire if self.is_expired(now_ms) => self.give_up(now_ms),
            Goal::Acquire if may_create => self.write(),
            // A claim that was seen before is gone, and with it what became of the call.
            Goal::Acquire => self.refuse_and_finish(Reason::KeyClaimed, Execution::Unknown),
            Goal::Settle(ClaimState::NotRun) if may_create && self.may_land_late() => self.write(),
            Goal::Settle(_) => self.finish(),
        }
    }

    /// Goes on once the claim is known to carry this flow's token.
    fn on_held(&mut self, version: u64, now_ms: u64) -> Vec<ClaimAction> {
        self.base = Base::Version(version);
        if matches!(self.goal, Goal::Settle(_)) {
            return self.write();
        }
        if self.is_expired(now_ms) {
            let refusal = Refusal::not_run(Reason::DispatchExpired, self.request.retry_after_ms);
            return self.settle(ClaimReply::Refused(refusal), ClaimState::NotRun);
        }
        self.dispatch()
    }

    fn on_dispatch_result(
        &mut self,
        number: u16,
        result: DispatchResult,
        now_ms: u64,
    ) -> Vec<ClaimAction> {
        // A repeated report about an earlier dispatch says nothing about the present one.
        if number != self.dispatches && self.mechanisms.has(Sabotage::DispatchNumber) {
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
                self.settle(ClaimReply::Refused(refusal), ClaimState::NotRun)
            }
            DispatchResult::Completed(answer) => {
                let state = ClaimState::Done(answer.recorded());
                self.settle(ClaimReply::Response(answer), state)
            }
            DispatchResult::Failed { reason } => {
                self.settle(refused(reason, Execution::Failed), ClaimState::Failed { reason })
            }
            DispatchResult::Lost { reason } => {
                let state = if self.mechanisms.has(Sabotage::ReleaseOnlyConfirmed) {
                    ClaimState::Unknown { reason }
                } else {
                    ClaimState::NotRun
                };
                self.settle(refused(reason, Execution::Unknown), state)
            }
        }
    }

    fn on_tick(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        if self.replied && now_ms > self.settle_by_ms() {
            return self.finish();
        }
        match self.phase {
            Phase::Finished => Vec::new(),
            Phase::Dispatched if now_ms >= self.request.deadline_ms => {
                self.refuse(Reason::DeadlineExpired, Execution::Unknown)
            }
            Phase::Dispatched => Vec::new(),
            Phase::New if self.is_expired(now_ms) => {
                let mut actions = self.refuse_unsettled();
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
