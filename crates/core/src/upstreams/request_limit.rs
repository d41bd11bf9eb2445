//! Limit that an upstream states on the requests of all entries together.
//!
//! Entries don't coordinate single requests. Each has a share of the limit, and the shares stay within
//! what the users tolerate (one and a half times the limit, and five more requests in four seconds)
//! while entries differ by one in the others that they know. Where a limit is too low to be
//! divided among all, only the entries that rank first for the upstream have a share.
//!
//! An entry learns of a limit from a response or from another entry. It is over once a request
//! that was sent after the last statement is answered without one.

use std::{cmp::Reverse, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    FastMap,
    token_bucket::{FillRate, TokenBucket},
    upstreams::{Upstream, UpstreamKey, Upstreams},
};

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
/// Time for which other entries are told of a change, in milliseconds; several rounds of their
/// questions.
const SHARED_MS: u64 = 5_000;
/// Largest number of changes in a message to another entry.
const MAX_CHANGES_SENT: usize = 32;
/// Number of other limits in a message, which take turns.
const OTHERS_SENT: usize = 4;
/// Time after which the next of them are sent, in milliseconds.
const TURN_MS: u64 = 300;

/// A limit that an upstream has stated or lifted, as told to other entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// Identifier under which the upstream is listed.
    pub id: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<i64>,
    /// Requests a second.
    pub per_s: f64,
    /// Time since the last statement, in milliseconds.
    pub stated_age_ms: i64,
    /// Time since the last request was sent whose response showed that there is no limit, in
    /// milliseconds.
    pub lifted_age_ms: Option<i64>,
}

/// What a response changed in the limit of its upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum LimitChange {
    /// A limit came into force or has another value, in requests a second.
    #[display("stated")]
    Stated(f64),
    /// A statement can't be read; a limit of this value is in force instead.
    #[display("unreadable")]
    Unreadable(f64),
    /// The limit is over.
    #[display("lifted")]
    Lifted,
}

/// What one entry may send of the requests to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitShare {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Rank of this entry among all in the order for the upstream; 0 is the first.
    pub(crate) rank: usize,
    /// Whether this entry owns the queue of the upstream's service; none if it has no owner.
    pub(crate) is_owner: Option<bool>,
}

impl LimitShare {
    /// Returns the rate of this entry's requests under a limit; none if it may not send any.
    fn fill_rate(self, limit_per_s: f64) -> Option<FillRate> {
        let sharing = MIN_SHARING_ENTRIES.saturating_add(limit_per_s as usize);
        let share_per_s = match self.is_owner {
            Some(true) => limit_per_s * OWNER_PART,
            Some(false) if self.rank < OTHERS => limit_per_s * OTHERS_PART / OTHERS as f64,
            None if self.rank < sharing => {
                limit_per_s / self.entries.clamp(MIN_ASSUMED_ENTRIES, sharing) as f64
            }
            Some(false) | None => return None,
        };
        let per_s = share_per_s.max(MIN_TOTAL_PER_S / MIN_SHARING_ENTRIES as f64);
        Some(FillRate { per_s, burst: (per_s * BURST_S).max(1.0) })
    }
}

/// Limit of one upstream and this entry's requests under it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestLimit {
    per_s: f64,
    /// Time at which the last statement was received, in milliseconds.
    stated_ms: Option<i64>,
    /// Time at which the last request was sent whose response showed that the limit is over, in
    /// milliseconds.
    lifted_ms: Option<i64>,
    changed_ms: u64,
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
    fn observe(
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

    /// Merges the report of another entry.
    fn merge(&mut self, report: &ReportedLimit, now_ms: u64) {
        let before = self.in_force();
        let is_newer = |reported_ms: i64, known_ms: Option<i64>| {
            known_ms.is_none_or(|it| reported_ms > it + REPORT_TOLERANCE_MS)
        };
        let stated_ms = now_ms as i64 - report.stated_age_ms.max(0);
        if is_newer(stated_ms, self.stated_ms) {
            self.stated_ms = Some(stated_ms);
            self.per_s = usable_limit(report.per_s);
        }
        if let Some(age_ms) = report.lifted_age_ms
            && is_newer(now_ms as i64 - age_ms.max(0), self.lifted_ms)
        {
            self.lifted_ms = Some(now_ms as i64 - age_ms.max(0));
        }
        if self.in_force() != before {
            self.changed_ms = now_ms;
        }
    }
}

fn usable_limit(per_s: f64) -> f64 {
    if per_s >= 0.0 { per_s.min(MAX_PER_S) } else { UNREADABLE_PER_S }
}

impl Upstreams {
    /// Sets the services whose work passes the queue of one entry, each with whether that is this one.
    pub fn set_owned_services(&mut self, owned: FastMap<Arc<str>, bool>) {
        self.owned_services = owned;
    }

    /// Applies what a response states of the request limit of its upstream, where the request was sent
    /// at `sent_ms`; returns the change.
    pub fn observe_request_limit(
        &mut self,
        key: UpstreamKey,
        stated_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        self.all.get_mut(key)?.request_limit.observe(stated_per_s, sent_ms, now_ms)
    }

    /// Returns the time until this entry may send an upstream the next request under the limit that it
    /// states, in milliseconds; none if only other entries may.
    pub(crate) fn limit_wait_ms(&self, upstream: &Upstream, now_ms: u64) -> Option<u64> {
        if upstream.request_limit.in_force().is_none() {
            return Some(0);
        }
        upstream.request_limit.wait_ms(self.limit_share(upstream), now_ms)
    }

    pub(crate) fn limit_share(&self, upstream: &Upstream) -> LimitShare {
        LimitShare {
            entries: self.entries.len(),
            rank: upstream.entry_rank,
            is_owner: self.owned_services.get(&upstream.record.service).copied(),
        }
    }

    /// Returns limits to tell other entries: recent changes, and some of the others in turn, so that
    /// the size of a message is bounded.
    pub(crate) fn limits_to_report(&self, now_ms: u64) -> Vec<ReportedLimit> {
        let stated = self.all.values().filter(|it| it.request_limit.stated_ms.is_some());
        let (mut recent, others): (Vec<&Upstream>, Vec<&Upstream>) =
            stated.partition(|it| now_ms < it.request_limit.changed_ms + SHARED_MS);
        recent.sort_unstable_by_key(|it| Reverse(it.request_limit.changed_ms));
        recent.truncate(MAX_CHANGES_SENT);
        let first = (now_ms / TURN_MS) as usize * OTHERS_SENT;
        let turn = (0..others.len().min(OTHERS_SENT)).map(|it| others[(first + it) % others.len()]);
        let to_send = recent.iter().copied().chain(turn);
        to_send.filter_map(|it| it.reported_limit(now_ms)).collect()
    }

    /// Merges limits that another entry has told.
    pub(crate) fn merge_limits(&mut self, reports: &[ReportedLimit], now_ms: u64) {
        for report in reports {
            let Some(upstream) = self.key_of(&report.id).and_then(|it| self.all.get_mut(it)) else {
                continue;
            };
            if upstream.record.started_unix_ms == report.started_unix_ms {
                upstream.request_limit.merge(report, now_ms);
            }
        }
    }
}

impl Upstream {
    fn reported_limit(&self, now_ms: u64) -> Option<ReportedLimit> {
        let limit = &self.request_limit;
        Some(ReportedLimit {
            id: self.record.id.clone(),
            started_unix_ms: self.record.started_unix_ms,
            per_s: limit.per_s,
            stated_age_ms: now_ms as i64 - limit.stated_ms?,
            lifted_age_ms: limit.lifted_ms.map(|it| now_ms as i64 - it),
        })
    }
}

#[cfg(test)]
mod tests;
