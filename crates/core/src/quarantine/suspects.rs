//! Serialization of the copies of a suspect: one at a time at an entry, at one upstream for all
//! entries.

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::Admission,
};

/// Number of requests in progress at one entry, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker {
    in_progress: FastMap<Digest, u32>,
}

impl SuspectTracker {
    /// Creates a tracker without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request if its admission allows it now; returns whether it was started.
    ///
    /// A suspect is not started while another copy of it is in progress at this entry; the caller
    /// waits or refuses it as not run with a retry delay. A quarantined request is never started.
    /// Every started request has to be ended with [`finish`](Self::finish).
    #[must_use]
    pub fn start(&mut self, fingerprint: Digest, admission: Admission) -> bool {
        let is_running = self.in_progress.contains_key(&fingerprint);
        match admission {
            Admission::Refused => return false,
            Admission::Exclusive if is_running => return false,
            Admission::Exclusive | Admission::Normal => {}
        }
        *self.in_progress.entry(fingerprint).or_default() += 1;
        true
    }

    /// Ends a request that was started.
    pub fn finish(&mut self, fingerprint: Digest) {
        let Some(count) = self.in_progress.get_mut(&fingerprint) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_progress.remove(&fingerprint);
        }
    }

    /// Returns the number of copies of a request in progress at this entry.
    pub fn in_progress(&self, fingerprint: Digest) -> u32 {
        self.in_progress.get(&fingerprint).copied().unwrap_or_default()
    }
}

/// Chooses the upstream at which a suspect runs exclusively, by rendezvous hashing.
///
/// Every entry that passes the same candidates in any order gets the same result, so that copies of
/// a suspect sent by different entries arrive at the same agent. Candidates are the agent
/// incarnations of the pool, including those whose upstream is busy; returns `None` if there are
/// none.
pub fn exclusive_upstream(fingerprint: Digest, candidates: &[Incarnation]) -> Option<Incarnation> {
    let mut best: Option<(Digest, Incarnation)> = None;
    for &candidate in candidates {
        let mut input = fingerprint.0.to_vec();
        input.extend_from_slice(&candidate.0.to_be_bytes());
        let scored = (Digest::of(&input), candidate);
        if best.is_none_or(|it| scored > it) {
            best = Some(scored);
        }
    }
    best.map(|(_, candidate)| candidate)
}
