//! Mechanisms of this slice that tests may turn off.

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Judge the end of a lease from the time of the answer instead of the question.
    ValidFromSent,
    /// Act without a look at the clock.
    ExpiryCheck,
    /// Take over a lease at once, without waiting for it to lapse.
    AwaitExpiry,
    /// Keep the fencing number when another holder takes over.
    RisingFence,
    /// Execute orders whatever their fencing number.
    FenceCheck,
    /// Execute orders after a restart without knowing the fencing number in force.
    FenceAfterRestart,
    /// Send an order while an earlier one may still arrive.
    SettleOrders,
}
