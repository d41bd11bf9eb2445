//! Incarnations of upstreams that have left or have announced that they leave.
//!
//! An upstream may announce in its responses that it leaves before the platform lists it as draining,
//! and a platform that was restored from a copy may list upstreams again that have left since. Neither
//! receives calls.

use serde::{Deserialize, Serialize};

use crate::{
    FastMap,
    request_limit::RequestLimit,
    upstreams::{Rest, UpstreamRecord},
};

/// Time for which a departure is remembered, in milliseconds; copies from which the platform is
/// restored are some seconds old.
const MEMORY_MS: u64 = 120_000;
/// Time for which other entries are told of a departure, in milliseconds; several rounds of their
/// questions.
const SHARED_MS: u64 = 5_000;

/// An incarnation of an upstream that receives no calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// Identifier under which the upstream is listed.
    pub id: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<i64>,
    /// Highest sequence number of its record that is outdated; all of them if it announced itself that
    /// it leaves.
    pub outdated_sequence: u64,
}

/// What an upstream has asked of this entry; still holds if it is listed again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demands {
    /// Rest that it asked for.
    pub(crate) rest: Rest,
    /// Limit that it states on the requests of all entries.
    pub(crate) request_limit: RequestLimit,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Era of the platform in which the upstream left.
    era: u64,
    outdated_sequence: u64,
    demands: Demands,
    at_ms: u64,
    /// Other entries may not know of it.
    is_shared: bool,
}

/// Departures by identifier and start of the incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    all: FastMap<(String, Option<i64>), Departure>,
}

impl Departures {
    /// Records that an upstream announced that it leaves; returns whether that was unknown.
    pub(crate) fn announce(&mut self, record: &UpstreamRecord, now_ms: u64) -> bool {
        self.merge(
            &LeavingUpstream {
                id: record.id.clone(),
                started_unix_ms: record.started_unix_ms,
                outdated_sequence: u64::MAX,
            },
            now_ms,
        )
    }

    /// Records that the platform of the given era no longer lists an upstream.
    pub(crate) fn unlist(
        &mut self,
        record: &UpstreamRecord,
        era: u64,
        demands: Demands,
        now_ms: u64,
    ) {
        let key = (record.id.clone(), record.started_unix_ms);
        let departure = self.all.entry(key).or_insert(Departure {
            era,
            outdated_sequence: 0,
            demands,
            at_ms: now_ms,
            is_shared: false,
        });
        departure.era = era;
        departure.outdated_sequence = departure.outdated_sequence.max(record.sequence);
        departure.demands = demands;
    }

    /// Tells whether a record is outdated, so that its upstream receives no calls; `era` is that of the
    /// platform which lists it, none if it may not be listed.
    pub(crate) fn is_outdated(
        &mut self,
        record: &UpstreamRecord,
        era: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let key = (record.id.clone(), record.started_unix_ms);
        let Some(departure) = self.all.get_mut(&key) else { return false };
        if departure.outdated_sequence == u64::MAX {
            return true;
        }
        // Within one era the platform lists an upstream again only if it has come back.
        let is_listed_again = era.is_some_and(|it| it <= departure.era);
        if is_listed_again || record.sequence > departure.outdated_sequence {
            self.all.remove(&key);
            return false;
        }
        if !departure.is_shared {
            (departure.is_shared, departure.at_ms) = (true, now_ms);
        }
        true
    }

    /// Returns the latest start of the runs of an upstream that have left; none if none has, as far as is
    /// remembered.
    pub(crate) fn latest_start(&self, id: &str) -> Option<i64> {
        self.all.keys().filter(|(it, _)| it == id).filter_map(|(_, started)| *started).max()
    }

    /// Returns what an upstream that is listed again had asked for.
    pub(crate) fn demands(&self, record: &UpstreamRecord) -> Option<Demands> {
        let key = (record.id.clone(), record.started_unix_ms);
        self.all.get(&key).map(|it| it.demands)
    }

    /// Returns the departures that other entries may not know of.
    pub(crate) fn recent(&self, now_ms: u64) -> Vec<LeavingUpstream> {
        let is_recent = |it: &Departure| it.is_shared && now_ms < it.at_ms + SHARED_MS;
        let recent = self.all.iter().filter(|(_, it)| is_recent(it));
        recent
            .map(|((id, started_unix_ms), it)| LeavingUpstream {
                id: id.clone(),
                started_unix_ms: *started_unix_ms,
                outdated_sequence: it.outdated_sequence,
            })
            .collect()
    }

    /// Records a departure that another entry reported; returns whether it was unknown.
    pub(crate) fn merge(&mut self, leaving: &LeavingUpstream, now_ms: u64) -> bool {
        let key = (leaving.id.clone(), leaving.started_unix_ms);
        let known = self.all.get(&key);
        if known.is_some_and(|it| it.outdated_sequence >= leaving.outdated_sequence) {
            return false;
        }
        let departure = Departure {
            era: known.map_or(0, |it| it.era),
            outdated_sequence: leaving.outdated_sequence,
            demands: known.map(|it| it.demands).unwrap_or_default(),
            at_ms: now_ms,
            is_shared: true,
        };
        self.all.insert(key, departure);
        true
    }

    /// Forgets departures of long ago.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.all.retain(|_, it| now_ms < it.at_ms + MEMORY_MS);
    }
}
