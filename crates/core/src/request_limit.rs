//! Limit that an upstream states on the requests of all processes together.
//!
//! Entries don't coordinate single requests. Each has a share of the limit, and the shares stay within
//! what the users tolerate (one and a half times the limit, and five more requests in four seconds)
//! while entries differ by one in the others that they know. Where a limit is too low to be
//! divided among all, only the entries that rank first for the upstream have a share. An agent is the
//! only one that calls its upstream, so it has all of it.
//!
//! A limit is over once a request that was sent after the last statement is answered without one.

use crate::token_bucket::{FillRate, TokenBucket};

/// Limit that is assumed for a statement that can't be read, in requests a second.
const UNREADABLE_PER_S: f64 = 1.0;
/// Largest limit that is kept, in requests a second; higher ones don't bind.
const MAX_PER_S: f64 = 1e6;
/// Number of entries that share any limit, however low.
const MIN_SHARING_ENTRIES: usize = 4;
/// Smallest number of entries that is assumed, in case others are not known yet.
const MIN_ASSUMED_ENTRIES: usize = 3;
/// Requests that all entries together send however low the limit is, a second; without them, nobody
/// would learn that it has ended.
const MIN_TOTAL_PER_S: f64 = 0.25;
/// Time whose requests one entry may send at once, in seconds.
const BURST_S: f64 = 0.125;
/// Part of the limit for the entry that owns the service's queue. Two may own it for a moment.
const OWNER_PART: f64 = 0.6;
/// Part of the limit for the other entries, which only call such a service for routes.
const OTHERS_PART: f64 = 0.25;
/// Number of these other entries.
const OTHERS: usize = 3;
/// Time by which a report has to be newer to count, in milliseconds; below it, the difference may be
/// the time that the messages took.
const REPORT_TOLERANCE_MS: i64 = 250;

/// What a response changed in the limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit came into force or has another value, in requests a second.
    Stated(f64),
    /// A statement can't be read; a limit of this value is in force instead.
    Unreadable(f64),
    /// The limit is over.
    Lifted,
}

/// What one process may send of the requests to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitShare {
    /// All of them.
    Sole,
    /// The share of the entry that owns the queue of the upstream's service.
    Owner,
    /// The share of another entry, of this rank in the order for the upstream; 0 is the first.
    BesideOwner {
        /// Rank of the entry.
        rank: usize,
    },
    /// The share of one entry where none owns a queue.
    Ranked {
        /// Number of entries.
        entries: usize,
        /// Rank of the entry.
        rank: usize,
    },
}

impl LimitShare {
    /// Returns the rate of requests under a limit; none if the process may not send any.
    fn fill_rate(self, limit_per_s: f64) -> Option<FillRate> {
        let sharing = MIN_SHARING_ENTRIES.saturating_add(limit_per_s as usize);
        let share_per_s = match self {
            Self::Sole => limit_per_s,
            Self::Owner => limit_per_s * OWNER_PART,
            Self::BesideOwner { rank } if rank < OTHERS => {
                limit_per_s * OTHERS_PART / OTHERS as f64
            }
            Self::Ranked { entries, rank } if rank < sharing => {
                limit_per_s / entries.clamp(MIN_ASSUMED_ENTRIES, sharing) as f64
            }
            Self::BesideOwner { .. } | Self::Ranked { .. } => return None,
        };
        let per_s = share_per_s.max(MIN_TOTAL_PER_S / MIN_SHARING_ENTRIES as f64);
        Some(FillRate { per_s, burst: (per_s * BURST_S).max(1.0) })
    }
}

/// Limit of one upstream and this entry's requests under it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestLimit {
    pub(crate) per_s: f64,
    /// Time at which the last statement was received, in milliseconds.
    pub(crate) stated_ms: Option<i64>,
    /// Time at which the last request was sent whose response showed that the limit is over, in
    /// milliseconds.
    pub(crate) lifted_ms: Option<i64>,
    /// Time of the last change, in milliseconds.
    pub(crate) changed_ms: u64,
    bucket: TokenBucket,
}

impl Default for RequestLimit {
    fn default() -> Self {
        Self {
            per_s: 0.0,
            stated_ms: None,
            lifted_ms: None,
            changed_ms: 0,
            bucket: TokenBucket::new(),
        }
    }
}

impl RequestLimit {
    /// Returns the limit in force, in requests a second.
    pub(crate) fn in_force(&self) -> Option<f64> {
        (self.stated_ms.is_some() && self.stated_ms >= self.lifted_ms).then_some(self.per_s)
    }

    /// Returns the time until this entry may send the next request, in milliseconds; none if it has no
    /// share of the limit.
    pub(crate) fn wait_ms(&self, share: LimitShare, now_ms: u64) -> Option<u64> {
        let Some(per_s) = self.in_force() else { return Some(0) };
        self.bucket.wait_ms(share.fill_rate(per_s)?, now_ms)
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, share: LimitShare, now_ms: u64) {
        if let Some(rate) = self.in_force().and_then(|it| share.fill_rate(it)) {
            self.bucket.take(rate, now_ms);
        }
    }

    /// Applies a response to a request that was sent at `sent_ms`; `stated_per_s` is none if it states
    /// no limit.
    pub(crate) fn observe(
        &mut self,
        stated_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let before = self.in_force();
        let Some(per_s) = stated_per_s else {
            before?;
            if Some(sent_ms as i64) <= self.stated_ms {
                return None;
            }
            self.lifted_ms = Some(sent_ms as i64);
            self.changed_ms = now_ms;
            return Some(LimitChange::Lifted);
        };
        let is_readable = per_s >= 0.0;
        self.per_s = usable_limit(per_s);
        self.stated_ms = Some(now_ms as i64);
        if before == Some(self.per_s) {
            return None;
        }
        self.changed_ms = now_ms;
        let change = if is_readable { LimitChange::Stated } else { LimitChange::Unreadable };
        Some(change(self.per_s))
    }

    /// Merges what another entry knows: a limit, the time of its last statement, and that of the request
    /// which showed its end, both in milliseconds of this process.
    pub(crate) fn merge(
        &mut self,
        per_s: f64,
        stated_ms: i64,
        lifted_ms: Option<i64>,
        now_ms: u64,
    ) {
        let before = self.in_force();
        let is_newer = |reported_ms: i64, known_ms: Option<i64>| {
            known_ms.is_none_or(|it| reported_ms > it + REPORT_TOLERANCE_MS)
        };
        if is_newer(stated_ms, self.stated_ms) {
            self.stated_ms = Some(stated_ms);
            self.per_s = usable_limit(per_s);
        }
        if let Some(lifted_ms) = lifted_ms.filter(|it| is_newer(*it, self.lifted_ms)) {
            self.lifted_ms = Some(lifted_ms);
        }
        if self.in_force() != before {
            self.changed_ms = now_ms;
        }
    }
}

fn usable_limit(per_s: f64) -> f64 {
    if per_s >= 0.0 { per_s.min(MAX_PER_S) } else { UNREADABLE_PER_S }
}

#[cfg(test)]
mod tests;
