//! Records and state of single upstreams.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::{
    request_limit::RequestLimit,
    upstreams::{ColdShare, HeldMemory, Occupancy, ResponseEnds, Rest},
};

new_key_type! {
    /// Identifies one incarnation of an upstream; a restarted upstream gets a new key.
    pub struct UpstreamKey;
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identifier under which the upstream is listed.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Address that receives the calls.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it has announced that it leaves and receives no new calls.
    pub is_draining: bool,
    /// Time for which it stays cold, in milliseconds; 0 if it is warm.
    pub cold_remaining_ms: u64,
    /// Sequence number of the record within one incarnation; a lower one is older.
    pub sequence: u64,
    /// Start time on its own clock, in milliseconds since the Unix epoch; distinguishes
    /// incarnations under the same identifier.
    pub started_unix_ms: Option<i64>,
    /// Models that it has loaded; empty if it does not state any.
    pub models: Vec<String>,
    /// Version of its software. What two versions of one service write does not fit together.
    #[serde(default)]
    pub version: Arc<str>,
}

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Multiple of the usual time that work takes on it at the moment; none if it does not state one,
    /// and not a number if the statement can't be read.
    pub slowdown: Option<f64>,
}

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// A complete response arrived.
    Answered {
        /// Time from sending to the head of the response, in milliseconds.
        latency_ms: f64,
    },
    /// The upstream stated that it did not run the request, because it is at capacity.
    Shed,
    /// The upstream did not run the request and wants none for a while.
    Rests,
    /// Another upstream uses the address now.
    Replaced,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, the response was damaged, or an internal error was reported.
    Failed,
    /// The call was cancelled by its caller, which does not reflect on the upstream.
    Cancelled,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest record in the platform's list.
    pub record: UpstreamRecord,
    /// Number of this entry's calls in progress.
    pub in_flight: u32,
    /// Last reported load, and the time of the report in milliseconds.
    pub(crate) load: Option<(Load, u64)>,
    /// Whether it has stated an invalid slowdown, which is logged once.
    pub(crate) has_invalid_slowdown: bool,
    /// Time before which the upstream receives no call, in milliseconds.
    pub(crate) down_until_ms: u64,
    /// Consecutive failed connections.
    pub(crate) connect_failures: u32,
    /// Failed calls, whose weights decay exponentially, as of `failures_at_ms`.
    pub(crate) failures: f64,
    pub(crate) failures_at_ms: u64,
    /// Moving average of the latency, in milliseconds; none before the first response.
    pub(crate) latency_ms: Option<f64>,
    pub(crate) latency_at_ms: u64,
    /// Time until which the upstream is treated as cold, in milliseconds.
    pub(crate) cold_until_ms: u64,
    /// Rank of this entry among all in the order for the upstream; 0 is the first.
    pub(crate) entry_rank: usize,
    /// This entry's share of the rate limit while the upstream is cold.
    pub(crate) cold_share: ColdShare,
    /// Time at which an upstream that is missing from the list after a platform outage is removed,
    /// unless it is listed again, in milliseconds.
    pub(crate) remove_at_ms: Option<u64>,
    /// Era of the platform in which the record was listed.
    pub(crate) listed_era: u64,
    /// Whether this incarnation leaves although its record does not say so.
    pub(crate) is_leaving: bool,
    /// Time until which the upstream is passed over because its streams begin late, in milliseconds.
    pub(crate) slow_until_ms: u64,
    /// Time since which it is passed over without interruption, in milliseconds.
    pub(crate) slow_since_ms: u64,
    /// What this entry observes of its use, for the choice by expected time.
    pub(crate) occupancy: Occupancy,
    /// Rest that the upstream asked for.
    pub(crate) rest: Rest,
    /// Limit that it states on the requests of all entries.
    pub(crate) request_limit: RequestLimit,
    /// This entry's share of its memory, and what its requests hold there.
    pub(crate) memory: HeldMemory,
    /// How its responses without a length have ended.
    pub(crate) response_ends: ResponseEnds,
}

impl Upstream {
    pub(crate) fn new(record: UpstreamRecord) -> Self {
        Self {
            occupancy: Occupancy::new(&record.id),
            record,
            in_flight: 0,
            load: None,
            has_invalid_slowdown: false,
            down_until_ms: 0,
            connect_failures: 0,
            failures: 0.0,
            failures_at_ms: 0,
            latency_ms: None,
            latency_at_ms: 0,
            cold_until_ms: 0,
            entry_rank: usize::MAX,
            cold_share: ColdShare::new(),
            remove_at_ms: None,
            listed_era: 0,
            is_leaving: false,
            slow_until_ms: 0,
            slow_since_ms: 0,
            rest: Rest::default(),
            request_limit: RequestLimit::default(),
            memory: HeldMemory::default(),
            response_ends: ResponseEnds::default(),
        }
    }

    /// Returns the record with the remaining time for which the upstream is treated as cold.
    pub(crate) fn record_at(&self, now_ms: u64) -> UpstreamRecord {
        UpstreamRecord {
            cold_remaining_ms: self.cold_until_ms.saturating_sub(now_ms),
            ..self.record.clone()
        }
    }

    /// Tells whether the upstream is treated as cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Tells whether the upstream has announced that it leaves.
    pub fn leaves(&self) -> bool {
        self.record.is_draining || self.is_leaving
    }

    /// Tells whether the upstream receives no calls because it asked for a rest.
    pub fn is_resting(&self, now_ms: u64) -> bool {
        self.rest.remaining_ms(now_ms) > 0
    }

    /// Tells whether the upstream receives no calls after a failed connection.
    pub fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_until_ms
    }
}
