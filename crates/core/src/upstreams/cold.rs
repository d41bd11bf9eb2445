//! One entry's share of the rate limit of a cold upstream.
//!
//! A cold upstream stops when it receives more than a few requests a second from all entries
//! together. Entries don't coordinate single requests, so each has a share, and the shares stay within
//! the limit even while entries disagree on the set of entries. Where the limit is too low to be
//! divided among all, only the entries that rank first for the upstream have a share.

use crate::token_bucket::{FillRate, TokenBucket};

/// Largest number of entries that may call one cold upstream; bounds the sum of their bursts.
const MAX_SHARING_ENTRIES: usize = 4;
/// Smallest number of entries that is assumed, in case others are not known yet.
const MIN_ASSUMED_ENTRIES: usize = 2;
/// Largest number of requests that one entry sends at once.
const BURST: f64 = 1.0;

/// Rate limit of a cold upstream for all entries together, and this entry's rank in sharing it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second; 0 means that a cold upstream needs no limit.
    pub per_s: f64,
    /// Number of entries.
    pub entries: usize,
    /// Rank of this entry among all in the order for the upstream; 0 is the first.
    pub rank: usize,
}

impl ColdLimit {
    /// Returns the requests a second that this entry may send.
    pub fn share_per_s(self) -> f64 {
        if self.rank >= MAX_SHARING_ENTRIES {
            return 0.0;
        }
        self.per_s / self.entries.clamp(MIN_ASSUMED_ENTRIES, MAX_SHARING_ENTRIES) as f64
    }

    fn fill_rate(self) -> FillRate {
        FillRate { per_s: self.share_per_s(), burst: BURST }
    }
}

/// Token bucket of one entry for one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    bucket: TokenBucket,
}

impl ColdShare {
    /// Creates a full bucket, which lets one request through.
    pub fn new() -> Self {
        Self { bucket: TokenBucket::new() }
    }

    /// Tells whether a request may be sent.
    pub fn has_token(&self, limit: ColdLimit, now_ms: u64) -> bool {
        limit.share_per_s() > 0.0 && self.bucket.wait_ms(limit.fill_rate(), now_ms) == Some(0)
    }

    /// Takes the token of a request that is sent.
    pub fn take_token(&mut self, limit: ColdLimit, now_ms: u64) {
        self.bucket.take(limit.fill_rate(), now_ms);
    }
}

impl Default for ColdShare {
    fn default() -> Self {
        Self::new()
    }
}
