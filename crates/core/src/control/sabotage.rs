//! Mechanisms of this slice that tests may turn off.

/// A mechanism that a test turns off to show that its oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Adopt a record whatever its version.
    RisingVersions,
    /// Adopt a record whose text does not match its digest.
    DigestCheck,
    /// Adopt a different record under the version in force.
    ConflictCheck,
    /// Treat a lost answer as a refusal instead of reading back.
    ReadBack,
    /// Replace the winner of a race instead of reporting a conflict.
    ConflictReport,
    /// Treat a conflict after a lost answer as a refusal instead of reading back.
    ReadBackAfterConflict,
    /// Look only at the newest record when reading back, not at the history.
    History,
    /// Withhold newer state from peers.
    Gossip,
}
