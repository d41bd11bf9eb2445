//! Mechanisms of this slice that tests may turn off.

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Dispatch queued work right after a pause.
    PauseDetection,
    /// Trust every answer of a peer, however old its own knowledge is.
    ConfirmationAge,
    /// Keep accepting work after the operational state has closed the gate.
    Operations,
    /// Let an older instance list replace a newer one.
    ListVersion,
    /// Keep queued work when the gate closes.
    HandBack,
    /// Finish a planned stop while work is in progress.
    AwaitWork,
}
