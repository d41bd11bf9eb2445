//! Which entry owns a shared piece of work, chosen alike by all entries without agreement.
//!
//! The owner is the candidate with the largest weight for the work's name, so a change of one entry
//! moves only what that entry owned. Where the views of two entries differ for a moment, two entries
//! own the same work; whoever uses this must bear that.

use crate::upstreams::rendezvous_weight;

/// Part of the largest processor share from which an entry is a candidate; weaker ones would slow
/// everybody's work down.
const MIN_SHARE_OF_LARGEST: f64 = 0.5;

/// An entry that may own work.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: String,
    /// Part of a core that it may use.
    pub cpu_share: f64,
}

/// Returns the owner of the work named `subject`, or `None` without candidates.
pub fn owner<'a>(subject: &str, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let largest = candidates.iter().map(|it| it.cpu_share).fold(0.0, f64::max);
    let is_strong = |it: &&Candidate| it.cpu_share >= largest * MIN_SHARE_OF_LARGEST;
    candidates.iter().filter(is_strong).max_by_key(|it| rendezvous_weight(&it.name, subject))
}

#[cfg(test)]
mod tests;
