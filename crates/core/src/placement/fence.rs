//! Check of fencing numbers straight before an order reaches an upstream.

use derive_more::Display;

use super::{FencingNumber, Sabotage};
use crate::switch::MechanismSwitch;

/// Why an order is not passed to the upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FenceRefusal {
    /// The agent has not yet learned the number in force after its start.
    #[display("the fencing number in force is not known yet")]
    Unconfirmed,
    /// A later acquisition of the lease is known.
    #[display("the order's fencing number is older than {highest}")]
    Old {
        /// Highest number known.
        highest: FencingNumber,
    },
    /// An earlier order is under way, or its answer was lost and it may still arrive.
    #[display("an earlier order is not settled")]
    Unsettled,
}

/// Guards one upstream against orders with old fencing numbers.
///
/// The guard serves upstreams that ignore the numbers as well as those that check them. It passes
/// one order at a time, so that no order can overtake another on its way.
#[derive(Clone, Debug)]
pub struct FenceGuard {
    highest: Option<FencingNumber>,
    /// Time for which an order may stay on its way after its sender is gone, in milliseconds.
    settle_ms: u64,
    /// Time from which the next order may be sent, in milliseconds.
    settled_from_ms: u64,
    is_order_under_way: bool,
    switch: MechanismSwitch<Sabotage>,
}

impl FenceGuard {
    /// Creates the guard of an agent that starts at `now_ms`.
    ///
    /// `settle_ms` is the time for which an order of an earlier run of the agent, or one whose
    /// answer was lost, may still arrive; zero is enough for an upstream that checks the numbers
    /// itself.
    pub fn new(now_ms: u64, settle_ms: u64) -> Self {
        Self {
            highest: None,
            settle_ms,
            settled_from_ms: now_ms + settle_ms,
            is_order_under_way: false,
            switch: MechanismSwitch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.disable(mechanism);
    }

    /// Notes a number that was read after the agent's start: that of the platform's lease record,
    /// or the highest that the upstream reports to have taken.
    pub fn learn(&mut self, fence: FencingNumber) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Highest number known.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }

    /// Begins an order; on success the caller sends it and then calls [`FenceGuard::end`].
    pub fn begin(&mut self, now_ms: u64, fence: FencingNumber) -> Result<(), FenceRefusal> {
        let is_known = self.highest.is_some();
        if !is_known && !self.switch.is_disabled(Sabotage::FenceAfterRestart) {
            return Err(FenceRefusal::Unconfirmed);
        }
        let highest = self.highest.unwrap_or_default();
        if fence < highest && !self.switch.is_disabled(Sabotage::FenceCheck) {
            return Err(FenceRefusal::Old { highest });
        }
        let is_settled = !self.is_order_under_way && now_ms >= self.settled_from_ms;
        if !is_settled && !self.switch.is_disabled(Sabotage::SettleOrders) {
            return Err(FenceRefusal::Unsettled);
        }
        self.learn(fence);
        self.is_order_under_way = true;
        Ok(())
    }

    /// Ends the order under way; `is_answered` tells whether the upstream answered it.
    pub fn end(&mut self, now_ms: u64, is_answered: bool) {
        self.is_order_under_way = false;
        if !is_answered {
            self.settled_from_ms = self.settled_from_ms.max(now_ms + self.settle_ms);
        }
    }
}
