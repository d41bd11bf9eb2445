//! Mechanisms of this module that tests can disable.

/// Mechanism that a test disables to show that its oracle detects the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// If disabled, the validity of a lease counts from the response to a write, not the request.
    ValidFromSent,
    /// If disabled, the holder acts without comparing the expiry with the clock.
    ExpiryCheck,
    /// If disabled, a lease is taken over at once, without waiting for it to expire.
    AwaitExpiry,
    /// If disabled, the fencing token stays the same when another holder takes over.
    IncreasingToken,
    /// If disabled, commands are executed whatever their fencing token.
    FenceCheck,
    /// If disabled, commands are executed after a restart while the current token is unknown.
    TokenAfterRestart,
    /// If disabled, a command is sent while an earlier one may still arrive.
    SingleCommandInFlight,
}
