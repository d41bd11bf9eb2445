//! Steps of a claim flow: what it writes, reads, dispatches and replies.

use crate::{
    at_most_once::{
        ClaimAction, ClaimFlow, ClaimRecord, ClaimReply, ClaimState, DispatchPermission,
        flow::{Base, Goal, Phase, Purpose},
    },
    outcome::{Execution, Reason, Refusal},
    sabotage::Sabotage,
};

/// Delay before a claim is read again while the caller waits, in milliseconds.
const ACQUIRE_RETRY_MS: u64 = 20;

/// Delay before a claim is read again once the caller has its reply, in milliseconds.
const SETTLE_RETRY_MS: u64 = 500;

/// Time after the deadline for which the flow tries to settle its claim, in milliseconds.
const SETTLE_WINDOW_MS: u64 = 60_000;

impl ClaimFlow {
    /// Replies that the claim could not be settled in time, and from then on only releases it.
    pub(crate) fn abandon_if_expired(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let is_expired = self.is_expired(now_ms) || now_ms > self.claim_by_ms;
        if self.goal != Goal::Acquire || !is_expired {
            return Vec::new();
        }
        self.goal = Goal::Settle(ClaimState::NotRun);
        self.refuse_unsettled()
    }

    /// Gives up after an answer of the platform; nothing is under way but perhaps a lost write.
    pub(crate) fn give_up(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let mut actions = self.abandon_if_expired(now_ms);
        let next = if self.acquire_unsettled { self.read() } else { self.finish() };
        actions.extend(next);
        actions
    }

    pub(crate) fn wait(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        let actions = self.abandon_if_expired(now_ms);
        let delay_ms = if self.replied { SETTLE_RETRY_MS } else { ACQUIRE_RETRY_MS };
        self.phase = Phase::Waiting { until_ms: now_ms.saturating_add(delay_ms) };
        actions
    }

    pub(crate) fn dispatch(&mut self) -> Vec<ClaimAction> {
        self.dispatches += 1;
        self.phase = Phase::Dispatched;
        let limit_ms = self.request.dispatch_by_ms;
        let permission = DispatchPermission::new(self.dispatches, limit_ms, self.mechanisms);
        vec![ClaimAction::Dispatch(permission)]
    }

    pub(crate) fn settle(&mut self, reply: ClaimReply, state: ClaimState) -> Vec<ClaimAction> {
        self.goal = Goal::Settle(state);
        let mut actions = self.reply(reply);
        actions.extend(self.write());
        actions
    }

    /// Writes over a released claim of another request.
    pub(crate) fn write_over(&mut self, record: &ClaimRecord, version: u64) -> Vec<ClaimAction> {
        self.base = Base::Version(version);
        self.epoch = record.epoch + 1;
        self.write()
    }

    pub(crate) fn write(&mut self) -> Vec<ClaimAction> {
        let (purpose, state) = match &self.goal {
            Goal::Acquire => (Purpose::Acquire, ClaimState::Claimed),
            Goal::Settle(state) => (Purpose::Settle, state.clone()),
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
        vec![match self.base {
            Base::Absent => ClaimAction::CreateClaim { name, record },
            Base::Version(expected_version) => {
                ClaimAction::UpdateClaim { name, record, expected_version }
            }
        }]
    }

    pub(crate) fn read(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Reading;
        vec![ClaimAction::ReadClaim { name: self.request.name.clone() }]
    }

    /// Refuses without knowing whether another copy of the call ran.
    pub(crate) fn refuse_unsettled(&mut self) -> Vec<ClaimAction> {
        let is_certain = self.only_copy || !self.mechanisms.has(Sabotage::UnsettledClaimUnknown);
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

    /// Tells whether a lost write of this flow may still make it the holder.
    pub(crate) fn may_land_late(&self) -> bool {
        self.acquire_unsettled && self.mechanisms.has(Sabotage::ReleaseUnsettled)
    }

    /// Tells whether the dispatch limit has passed.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.request.dispatch_by_ms && self.mechanisms.has(Sabotage::DispatchPermission)
    }

    pub(crate) fn settle_by_ms(&self) -> u64 {
        self.request.deadline_ms.saturating_add(SETTLE_WINDOW_MS)
    }
}
