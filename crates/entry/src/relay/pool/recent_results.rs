//! Stage results that the responses on a connection have named lately.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
};

use rustc_hash::FxHasher;

/// Number of results to remember; the responses of a few calls with full batches.
const MAX_RESULTS: usize = 256;

/// Digests of the handles of results, the newest last.
#[derive(Debug, Default)]
pub(crate) struct RecentResults {
    digests: VecDeque<u64>,
}

impl RecentResults {
    /// Records the results of a response; tells whether one of them was recorded before.
    pub(crate) fn record<'a>(&mut self, handles: impl Iterator<Item = &'a str>) -> bool {
        let mut is_repeated = false;
        for handle in handles {
            let mut hasher = FxHasher::default();
            handle.hash(&mut hasher);
            let digest = hasher.finish();
            is_repeated |= self.digests.contains(&digest);
            if self.digests.len() == MAX_RESULTS {
                self.digests.pop_front();
            }
            self.digests.push_back(digest);
        }
        is_repeated
    }
}

#[cfg(test)]
mod tests;
