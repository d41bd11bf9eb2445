//! Which entry owns a shared piece of work, chosen alike by all entries without agreement.
//!
//! The owner is the first entry that takes work in an order that every entry computes alike from the
//! work's name, so a change of one entry moves only what that entry owned. Where the views of two
//! entries differ for a moment, two entries own the same work; whoever uses this must bear that.

mod view;

use crate::upstreams::rendezvous_weight;

pub use view::{EntryView, OwnState, PeerState};

/// Part of the largest processor share from which an entry goes before the weaker ones, which would
/// slow everybody's work down.
const MIN_SHARE_OF_LARGEST: f64 = 0.5;

/// An entry that may own work.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: String,
    /// Part of a core that it may use.
    pub cpu_share: f64,
}

/// Returns the entries in their order for the work named `subject`: the strong ones first, each
/// group by weight.
fn ranked(subject: &str, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    let largest = candidates.iter().map(|it| it.cpu_share).fold(0.0, f64::max);
    candidates.sort_by_cached_key(|it| {
        let is_weak = it.cpu_share < largest * MIN_SHARE_OF_LARGEST;
        (is_weak, std::cmp::Reverse(rendezvous_weight(&it.name, subject)))
    });
    candidates
}

#[cfg(test)]
mod tests;
