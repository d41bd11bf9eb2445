//! Lease record as the platform stores it.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identifies a process as holder of leases; chosen at random at each start of the process.
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
pub struct HolderId(pub u128);

/// Fencing token of a lease, which increases with every acquisition.
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
pub struct FencingToken(pub u64);

/// Lease record as the platform stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Process that holds the lease.
    pub holder: HolderId,
    /// Fencing token of the acquisition.
    pub fence: FencingToken,
    /// Sequence number of this write among all writes of the holder, which identifies it when the
    /// record is read back.
    pub write_number: u64,
    /// Time for which the lease is valid after a write, in milliseconds.
    pub duration_ms: u64,
}
