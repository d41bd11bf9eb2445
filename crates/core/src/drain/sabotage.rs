//! Safety mechanisms of this module that tests can disable.

/// Fault to inject; a test uses it to show that its oracle detects the missing mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Dispatch queued work immediately after a pause.
    PauseDetection,
    /// Count every reply of a peer as a confirmation, however old the peer's own control state is.
    ConfirmationAge,
    /// Keep accepting work after the operational state has closed the gate.
    Operations,
    /// Let an older instance list replace a newer one.
    ListVersion,
    /// Keep queued work when the gate closes.
    RefuseQueued,
    /// Finish a graceful shutdown while work is in progress.
    AwaitWork,
}
