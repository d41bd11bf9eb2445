//! Mechanisms of this slice that tests may turn off.

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Let an older instance list replace a newer one.
    ListVersion,
    /// Let the instance list clear what an agent said about itself.
    DirectEvidence,
    /// Take answers of an agent in the order in which they arrive.
    EvidenceOrder,
    /// Keep sending work to an upstream that can't be reached.
    ContactFailure,
    /// Keep sending work to an upstream that vanished from the list.
    ListedOnly,
    /// Ignore the operational state.
    Operations,
}
