//! Request limits of the upstreams, and their exchange among entries.
//!
//! An entry learns of a limit and of its end from a response or from another entry. Messages carry recent
//! changes, and some of the other limits in turn, so that their size does not grow with the fleet.

use std::{cmp::Reverse, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    FastMap,
    request_limit::{LimitChange, LimitShare},
    upstreams::{Upstream, UpstreamKey, Upstreams},
};

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
        let (entries, rank) = (self.entries.len(), upstream.entry_rank);
        match self.owned_services.get(&upstream.record.service) {
            Some(true) => LimitShare::Owner,
            Some(false) => LimitShare::BesideOwner { rank },
            None => LimitShare::Ranked { entries, rank },
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
                let stated_ms = now_ms as i64 - report.stated_age_ms.max(0);
                let lifted_ms = report.lifted_age_ms.map(|it| now_ms as i64 - it.max(0));
                upstream.request_limit.merge(report.per_s, stated_ms, lifted_ms, now_ms);
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
