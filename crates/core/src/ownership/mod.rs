//! Assignment of shared work to an owning entry, without coordination among the entries.
//!
//! The owner is the first entry that accepts work in the rendezvous order of the work's name, which
//! every entry computes identically. A change of one entry therefore moves only the work that this
//! entry owned. While the views of two entries differ, two entries may own the same work; callers have
//! to tolerate that.

mod listed_entries;
mod readers;
mod reading_role;
mod view;

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::upstreams::rendezvous_weight;

pub use listed_entries::ListedEntries;
pub use readers::ReaderPlan;
pub use reading_role::{ReadingRole, RoleDecision, RoleInputs};
pub use view::{EntryView, OwnState, PeerState};

/// Fraction of the largest CPU share below which an entry ranks after the stronger ones, since a weak
/// owner would slow down the work of all entries.
const MIN_FRACTION_OF_LARGEST_SHARE: f64 = 0.5;

/// An entry that may own work.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: String,
    /// Share of a CPU core that it may use.
    pub cpu_share: f64,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
}

/// Name, address and capacity of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry.
    pub name: String,
    /// Address on which the entry accepts calls of other entries.
    pub peer_address: SocketAddr,
    /// CPU limit of the entry, in cores.
    pub cpu_share: f64,
    /// Data centre that the entry runs in.
    pub data_centre: Arc<str>,
}

impl EntryAddress {
    /// Returns the entry as a candidate for shared work.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            name: self.name.clone(),
            cpu_share: self.cpu_share,
            data_centre: self.data_centre.clone(),
        }
    }
}

/// Returns the entries in their order for the work named `subject`: first the strong ones, then the
/// weak ones, each group by rendezvous weight.
fn ranked(subject: &str, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    let largest = candidates.iter().map(|it| it.cpu_share).fold(0.0, f64::max);
    candidates.sort_by_cached_key(|it| {
        let is_weak = it.cpu_share < largest * MIN_FRACTION_OF_LARGEST_SHARE;
        (is_weak, std::cmp::Reverse(rendezvous_weight(&it.name, subject)))
    });
    candidates
}

#[cfg(test)]
mod tests;
