//! Input events and output actions of a claim flow.

use crate::{
    at_most_once::{CallResponse, ClaimName, ClaimRecord},
    outcome::{Reason, Refusal},
    sabotage::{Mechanisms, Sabotage},
};

/// Input of a claim flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The request has arrived.
    Start,
    /// A create or update took effect.
    Written {
        /// Version of the claim after the write.
        version: u64,
    },
    /// A create or update had no effect because the claim exists or has another version.
    Conflict,
    /// A create had no effect because the claim exists, and the platform returned the claim.
    Exists {
        /// The existing claim.
        record: ClaimRecord,
        /// Version of the claim.
        version: u64,
    },
    /// The response to a create or update was lost; the write may have taken effect or may still do
    /// so.
    WriteLost,
    /// A create or update could not be sent and certainly has no effect.
    WriteUnavailable,
    /// A read returned the claim.
    Found {
        /// The existing claim.
        record: ClaimRecord,
        /// Version of the claim.
        version: u64,
    },
    /// A read found no claim.
    Absent,
    /// A read got no response.
    ReadUnavailable,
    /// A dispatch ended.
    Dispatch {
        /// Number of the dispatch, from its [`DispatchPermission`].
        number: u16,
        /// How it ended.
        result: DispatchResult,
    },
    /// The time returned by [`ClaimFlow::next_tick_ms`](super::ClaimFlow::next_tick_ms) has been
    /// reached.
    Tick,
}

/// How a dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// The agent confirmed that it did not run the call and never will, or the permission expired
    /// before the call was sent.
    NotRun {
        /// Why the call was not run.
        reason: Reason,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
        /// Whether to try another agent before the dispatch limit.
        try_again: bool,
    },
    /// The upstream returned a complete response.
    Completed(CallResponse),
    /// The upstream reported a failure.
    Failed {
        /// Why the call did not complete.
        reason: Reason,
    },
    /// It will never be known whether the call ran; no further result of this dispatch follows.
    Lost {
        /// Why the call did not complete.
        reason: Reason,
    },
}

/// Output of a claim flow, to be carried out by the entry.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Create the claim unless it exists.
    CreateClaim {
        /// Name of the claim.
        name: ClaimName,
        /// The claim to create.
        record: ClaimRecord,
    },
    /// Read the claim.
    ReadClaim {
        /// Name of the claim.
        name: ClaimName,
    },
    /// Update the claim if it still has the expected version.
    UpdateClaim {
        /// Name of the claim.
        name: ClaimName,
        /// New content of the claim.
        record: ClaimRecord,
        /// Version on which the update is conditional.
        expected_version: u64,
    },
    /// Send the call to one agent, once the permission has been redeemed.
    Dispatch(DispatchPermission),
    /// Reply to the caller; returned once for each flow.
    Reply(ClaimReply),
}

/// Reply to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// Response of the upstream, to this copy of the call or to an earlier one.
    Response(CallResponse),
    /// The call was refused or did not complete.
    Refused(Refusal),
    /// The idempotency key belongs to a different call; this one was not run and never will be
    /// under this key.
    KeyReused,
}

/// Permission to send one call to one agent by a time limit.
///
/// It cannot be cloned, and redeeming consumes it.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermission {
    number: u16,
    dispatch_by_ms: u64,
    enforces_expiry: bool,
}

impl DispatchPermission {
    pub(crate) fn new(number: u16, dispatch_by_ms: u64, mechanisms: Mechanisms) -> Self {
        let enforces_expiry = mechanisms.has(Sabotage::DispatchPermission);
        Self { number, dispatch_by_ms, enforces_expiry }
    }

    /// Returns the number of the dispatch, counted from one.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Redeems the permission immediately before the call is sent.
    ///
    /// Returns the dispatch limit for the agent on the entry's clock, in milliseconds, or `None` if
    /// the permission has expired; the call must then not be sent and the dispatch has to be
    /// reported as not run.
    #[must_use]
    pub fn redeem(self, now_ms: u64) -> Option<u64> {
        let expired = now_ms > self.dispatch_by_ms && self.enforces_expiry;
        (!expired).then_some(self.dispatch_by_ms)
    }
}
