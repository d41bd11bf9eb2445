//! Revisions of the platform's object store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Position in the history of the platform's store.
///
/// When the store is restored from a copy, its era rises and its numbers continue from those of the
/// copy, so numbers can only be compared within one era.
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
    Serialize,
    Deserialize,
)]
#[display("{era}.{number}")]
pub struct Revision {
    /// Number of times that the store was restored; 0 if it does not state it.
    pub era: u64,
    /// Number of the change within the history of the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
