//! One entry's part of the rate that a cold upstream bears.
//!
//! A cold upstream stops when it receives more than a few requests a second from all entries
//! together. Entries don't talk about single requests, so each has a part that adds up to the limit
//! even while two views of the set of entries are in use. Where the limit is too low to be divided
//! among all, only the entries that rank first for the upstream have a part.

/// Entries that may call one cold upstream; bounds the sum of their bursts.
const MAX_SHARERS: usize = 4;
/// Entries that are reckoned with at least, in case others are not known yet.
const MIN_SHARERS: usize = 2;
/// Largest number of requests that one entry sends at the same moment.
const BURST: f64 = 1.0;

/// Limit of a cold upstream for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second; 0 when a cold upstream needs no care.
    pub per_s: f64,
    /// Number of entries.
    pub entries: usize,
    /// Position of this entry among all when ordered for the upstream.
    pub rank: usize,
}

impl ColdLimit {
    /// Returns the requests a second that this entry may send.
    pub fn own_per_s(self) -> f64 {
        if self.rank >= MAX_SHARERS {
            return 0.0;
        }
        self.per_s / self.entries.clamp(MIN_SHARERS, MAX_SHARERS) as f64
    }
}

/// Token bucket of one entry for one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    tokens: f64,
    updated_ms: u64,
}

impl ColdShare {
    /// Creates a bucket with room for one request.
    pub fn new() -> Self {
        Self { tokens: BURST, updated_ms: 0 }
    }

    /// Tells whether a request may be sent.
    pub fn has_room(&self, limit: ColdLimit, now_ms: u64) -> bool {
        limit.own_per_s() > 0.0 && self.refilled(limit, now_ms) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, limit: ColdLimit, now_ms: u64) {
        self.tokens = self.refilled(limit, now_ms) - 1.0;
        self.updated_ms = now_ms;
    }

    fn refilled(&self, limit: ColdLimit, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        (self.tokens + elapsed_s * limit.own_per_s()).min(BURST)
    }
}

impl Default for ColdShare {
    fn default() -> Self {
        Self::new()
    }
}
