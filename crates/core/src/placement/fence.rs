//! Check of fencing tokens immediately before a command is sent to an upstream.

use derive_more::Display;

use super::{FencingToken, Sabotage};
use crate::switch::MechanismSwitch;

/// Reason for which a command is not sent to the upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FenceError {
    /// The agent has not read the current token since its start.
    #[display("current fencing token not known yet")]
    TokenUnknown,
    /// A later acquisition of the lease is known.
    #[display("fencing token of the command is older than {highest}")]
    StaleToken {
        /// Highest known token.
        highest: FencingToken,
    },
    /// An earlier command is in flight, or its response was lost and it may still arrive.
    #[display("an earlier command may still be in flight")]
    CommandPending,
}

/// Guards one upstream against commands with outdated fencing tokens.
///
/// It works for upstreams that ignore the tokens as well as for those that check them. It admits
/// one command at a time, so that no command can overtake another in transit.
#[derive(Clone, Debug)]
pub struct FenceGuard {
    highest: Option<FencingToken>,
    /// Time for which a command may stay in transit after its sender is gone, in milliseconds.
    max_transit_ms: u64,
    /// Time from which the next command may be sent, in milliseconds.
    next_send_ms: u64,
    is_command_in_flight: bool,
    mechanisms: MechanismSwitch<Sabotage>,
}

impl FenceGuard {
    /// Creates the guard of an agent that starts at `now_ms`.
    ///
    /// `max_transit_ms` is the time for which a command of an earlier agent process, or one whose
    /// response was lost, may still arrive. Zero is enough for an upstream that checks the tokens
    /// itself.
    pub fn new(now_ms: u64, max_transit_ms: u64) -> Self {
        Self {
            highest: None,
            max_transit_ms,
            next_send_ms: now_ms + max_transit_ms,
            is_command_in_flight: false,
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Records a token that was read after the agent's start: that of the platform's lease record,
    /// or the highest one that the upstream reports to have accepted.
    pub fn record_token(&mut self, fence: FencingToken) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Returns the highest known token.
    pub fn highest(&self) -> Option<FencingToken> {
        self.highest
    }

    /// Begins a command; on success the caller sends it and then calls [`FenceGuard::end`].
    ///
    /// # Errors
    ///
    /// Returns a [`FenceError`] if the command must not be sent now.
    pub fn begin(&mut self, now_ms: u64, fence: FencingToken) -> Result<(), FenceError> {
        let is_known = self.highest.is_some();
        if !is_known && !self.mechanisms.is_disabled(Sabotage::TokenAfterRestart) {
            return Err(FenceError::TokenUnknown);
        }
        let highest = self.highest.unwrap_or_default();
        if fence < highest && !self.mechanisms.is_disabled(Sabotage::FenceCheck) {
            return Err(FenceError::StaleToken { highest });
        }
        let can_send = !self.is_command_in_flight && now_ms >= self.next_send_ms;
        if !can_send && !self.mechanisms.is_disabled(Sabotage::SingleCommandInFlight) {
            return Err(FenceError::CommandPending);
        }
        self.record_token(fence);
        self.is_command_in_flight = true;
        Ok(())
    }

    /// Ends the command in flight; `is_answered` tells whether the upstream responded to it.
    pub fn end(&mut self, now_ms: u64, is_answered: bool) {
        self.is_command_in_flight = false;
        if !is_answered {
            self.next_send_ms = self.next_send_ms.max(now_ms + self.max_transit_ms);
        }
    }
}
