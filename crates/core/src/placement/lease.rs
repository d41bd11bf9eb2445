//! Lease record as the platform stores it.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Names one run of a process as a holder of leases; drawn at random at its start.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
pub struct HolderToken(pub u128);

/// Number of an acquisition of a lease; every acquisition takes a higher one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct FencingNumber(pub u64);

/// Lease record as the platform stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder.
    pub holder: HolderToken,
    /// Number of the acquisition.
    pub fence: FencingNumber,
    /// Number of the write within all writes of the holder, by which it tells them apart.
    pub write_number: u64,
    /// Time for which the lease holds after a write, in milliseconds.
    pub duration_ms: u64,
}
