//! Steps of a claim flow: writes, reads, dispatches and replies.

use crate::{
    at_most_once::{
        ClaimAction, ClaimFlow, ClaimRecord, ClaimReply, ClaimState, DispatchPermission,
        flow::{Goal, Phase, Precondition, Purpose},
    },
    outcome::{Execution, Reason, Refusal},
    sabotage::Sabotage,
};

/// Delay between reads of a claim while the caller waits, in milliseconds.
const ACQUIRE_RETRY_MS: u64 = 20;

/// Delay between reads of a claim after the reply, in milliseconds.
const RECORD_RETRY_MS: u64 = 500;

/// Time after the deadline for which the flow tries to record the outcome, in milliseconds.
const RECORD_WINDOW_MS: u64 = 60_000;

impl ClaimFlow {
    /// After the dispatch limit or the limit for confirmation, refuses the request and from then on
    /// only releases the claim.
    pub(crate) fn abandon_if_expired(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let is_expired = self.is_expired(now_ms) || now_ms > self.confirm_by_ms;
        if self.goal != Goal::Acquire || !is_expired {
            return Vec::new();
        }
        self.goal = Goal::RecordOutcome(ClaimState::NotRun);
        self.refuse_unconfirmed()
    }

    /// Abandons the claim after a response of the platform, when no call is in progress except
    /// possibly a write whose response was lost.
    pub(crate) fn abandon(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = self.abandon_if_expired(now_ms);
        let next = if self.acquire_unconfirmed { self.read() } else { self.finish() };
        actions.extend(next);
        actions
    }

    pub(crate) fn wait(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let actions = self.abandon_if_expired(now_ms);
        let delay_ms = if self.replied { RECORD_RETRY_MS } else { ACQUIRE_RETRY_MS };
        self.phase = Phase::Waiting { until_ms: now_ms.saturating_add(delay_ms) };
        actions
    }

    pub(crate) fn dispatch(&mut self) -> Vec<ClaimAction> {
        self.dispatch_count += 1;
        self.phase = Phase::Dispatched;
        let limit_ms = self.request.dispatch_by_ms;
        let permission = DispatchPermission::new(self.dispatch_count, limit_ms, self.mechanisms);
        vec![ClaimAction::Dispatch(permission)]
    }

    pub(crate) fn reply_and_record(
        &mut self,
        reply: ClaimReply,
        state: ClaimState,
    ) -> Vec<ClaimAction> {
        self.goal = Goal::RecordOutcome(state);
        let mut actions = self.reply(reply);
        actions.extend(self.write());
        actions
    }

    /// Overwrites a released claim of another request, in a new epoch.
    pub(crate) fn overwrite(&mut self, record: &ClaimRecord, version: u64) -> Vec<ClaimAction> {
        self.precondition = Precondition::Version(version);
        self.epoch = record.epoch + 1;
        self.write()
    }

    pub(crate) fn write(&mut self) -> Vec<ClaimAction> {
        let (purpose, state) = match &self.goal {
            Goal::Acquire => (Purpose::Acquire, ClaimState::Claimed),
            Goal::RecordOutcome(state) => (Purpose::RecordOutcome, state.clone()),
        };
        self.phase = Phase::Writing(purpose);
        let name = self.request.name.clone();
        let record = ClaimRecord {
            token: self.request.token,
            claimant: self.request.claimant,
            fingerprint: self.request.fingerprint,
            epoch: self.epoch,
            state,
        };
        vec![match self.precondition {
            Precondition::Absent => ClaimAction::CreateClaim { name, record },
            Precondition::Version(expected_version) => {
                ClaimAction::UpdateClaim { name, record, expected_version }
            }
        }]
    }

    pub(crate) fn read(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Reading;
        vec![ClaimAction::ReadClaim { name: self.request.name.clone() }]
    }

    /// Refuses a request whose claim is unconfirmed, so that another copy of the call may have run.
    pub(crate) fn refuse_unconfirmed(&mut self) -> Vec<ClaimAction> {
        let is_certain = self.only_copy || !self.mechanisms.has(Sabotage::UnconfirmedClaimUnknown);
        let execution = if is_certain { Execution::NotRun } else { Execution::Unknown };
        self.refuse(Reason::PlatformUnavailable, execution)
    }

    pub(crate) fn refuse(&mut self, reason: Reason, execution: Execution) -> Vec<ClaimAction> {
        let retry_after_ms = self.request.retry_after_ms;
        self.reply(ClaimReply::Refused(Refusal { reason, execution, retry_after_ms }))
    }

    pub(crate) fn refuse_and_finish(
        &mut self,
        reason: Reason,
        execution: Execution,
    ) -> Vec<ClaimAction> {
        let actions = self.refuse(reason, execution);
        self.phase = Phase::Finished;
        actions
    }

    pub(crate) fn reply_and_finish(&mut self, reply: ClaimReply) -> Vec<ClaimAction> {
        let actions = self.reply(reply);
        self.phase = Phase::Finished;
        actions
    }

    pub(crate) fn reply(&mut self, reply: ClaimReply) -> Vec<ClaimAction> {
        if self.replied {
            return Vec::new();
        }
        self.replied = true;
        vec![ClaimAction::Reply(reply)]
    }

    pub(crate) fn finish(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Finished;
        Vec::new()
    }

    /// Returns whether a write with a lost response may still make this flow the holder.
    pub(crate) fn may_still_take_effect(&self) -> bool {
        self.acquire_unconfirmed && self.mechanisms.has(Sabotage::ReleaseUnconfirmed)
    }

    /// Returns whether the dispatch limit has passed.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.request.dispatch_by_ms && self.mechanisms.has(Sabotage::DispatchPermission)
    }

    /// Returns the time at which the flow stops trying to record the outcome, in milliseconds.
    pub(crate) fn record_by_ms(&self) -> u64 {
        self.request.deadline_ms.saturating_add(RECORD_WINDOW_MS)
    }
}
