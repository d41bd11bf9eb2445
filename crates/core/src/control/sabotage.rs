//! Safety mechanisms of this module that tests can disable.

/// Fault to inject; a test uses it to show that its oracle detects the missing mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Adopt a record even if its version is older than the one in force.
    MonotonicVersions,
    /// Adopt a record whose text does not match its digest.
    DigestCheck,
    /// Adopt a different record that has the version in force.
    ConflictCheck,
    /// Treat a lost response as a refusal instead of reading the object back.
    ReadBack,
    /// Overwrite the change that won a race instead of reporting a conflict.
    ConflictReport,
    /// Treat a conflict after a lost response as a refusal instead of reading the object back.
    ReadBackAfterConflict,
    /// Compare only the latest change when reading back, not the whole history.
    History,
    /// Do not send newer state to peers.
    Gossip,
}
