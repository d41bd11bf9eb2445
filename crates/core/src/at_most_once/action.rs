//! Events and actions of a claim flow.

use crate::{
    at_most_once::{CallResponse, ClaimName, ClaimRecord},
    outcome::{Reason, Refusal},
    sabotage::{Mechanisms, Sabotage},
};

/// What happened to a claim flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The request has arrived.
    Start,
    /// A create or update took effect.
    Written {
        /// Version of the claim after the write.
        version: u64,
    },
    /// A create or update did not take effect because the claim exists or has another version.
    Conflict,
    /// A create did not take effect because the claim exists, and the platform returned it.
    Exists {
        /// The claim.
        record: ClaimRecord,
        /// Version of the claim.
        version: u64,
    },
    /// The answer to a create or update was lost; the write may have taken effect or still may.
    WriteLost,
    /// A create or update could not be sent and certainly has no effect.
    WriteUnavailable,
    /// A read returned the claim.
    Found {
        /// The claim.
        record: ClaimRecord,
        /// Version of the claim.
        version: u64,
    },
    /// A read found no claim.
    Absent,
    /// A read was not answered.
    ReadUnavailable,
    /// A dispatch ended.
    Dispatch {
        /// Number of the dispatch, from its [`DispatchPermission`].
        number: u16,
        /// How it ended.
        result: DispatchResult,
    },
    /// The time of [`ClaimFlow::next_tick_ms`](super::ClaimFlow::next_tick_ms) has come.
    Tick,
}

/// How a dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// The agent confirmed that it did not run the call and never will, or the permission had
    /// expired before the call was sent.
    NotRun {
        /// Why the call was not run.
        reason: Reason,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
        /// Whether to try another agent while the dispatch limit allows it.
        try_again: bool,
    },
    /// The upstream answered.
    Completed(CallResponse),
    /// The upstream reported a failure.
    Failed {
        /// Why the call did not complete.
        reason: Reason,
    },
    /// Whether the call ran will not be known; no more is heard about this dispatch.
    Lost {
        /// Why the call did not complete.
        reason: Reason,
    },
}

/// What the entry has to do for a claim flow.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Create the claim unless it exists.
    CreateClaim {
        /// Name of the claim.
        name: ClaimName,
        /// The claim.
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
        /// The new claim.
        record: ClaimRecord,
        /// Version that the update is conditional on.
        expected_version: u64,
    },
    /// Send the call to one agent, once the permission has been redeemed.
    Dispatch(DispatchPermission),
    /// Answer the caller; given once for each flow.
    Reply(ClaimReply),
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The call ran, now or for an earlier copy.
    Response(CallResponse),
    /// The call was not answered by an upstream.
    Refused(Refusal),
    /// The key belongs to a different call; this one was not run and will not be under this key.
    KeyReused,
}

/// Permission to send one call to one agent before a time limit.
///
/// It cannot be copied, and redeeming consumes it.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermission {
    number: u16,
    dispatch_by_ms: u64,
    checks_expiry: bool,
}

impl DispatchPermission {
    pub(crate) fn new(number: u16, dispatch_by_ms: u64, mechanisms: Mechanisms) -> Self {
        let checks_expiry = mechanisms.has(Sabotage::DispatchPermission);
        Self { number, dispatch_by_ms, checks_expiry }
    }

    /// Returns the number of the dispatch, counted from one.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Redeems the permission straight before the call is sent.
    ///
    /// Returns the dispatch limit for the agent on the entry's clock, in milliseconds, or `None`
    /// when the permission has expired; the call must then not be sent and the dispatch is reported
    /// as not run.
    #[must_use]
    pub fn redeem(self, now_ms: u64) -> Option<u64> {
        let expired = now_ms > self.dispatch_by_ms && self.checks_expiry;
        (!expired).then_some(self.dispatch_by_ms)
    }
}
