//! What is known of one upstream.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::upstreams::ColdShare;

new_key_type! {
    /// Names one run of an upstream; a restarted upstream gets another key.
    pub struct UpstreamKey;
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identifier under which the upstream is listed.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Address that takes the calls.
    pub address: SocketAddr,
    /// Data centre that the upstream stands in.
    pub data_centre: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_draining: bool,
    /// Time for which it stays cold, in milliseconds; 0 when it is warm.
    pub cold_remaining_ms: u64,
    /// Number of the record within one run; a lower one is older.
    pub sequence: u64,
    /// Time of its start on its own clock; distinguishes two runs under one identifier.
    pub started_unix_ms: Option<i64>,
    /// Models that it has loaded; empty when it does not say.
    pub models: Vec<String>,
}

/// Load that an upstream reports with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// How a call to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// A whole answer arrived after this time, in milliseconds.
    Answered {
        /// Time from sending to the head of the answer, in milliseconds.
        latency_ms: f64,
    },
    /// The upstream stated that it did not run the request, because it is full.
    Shed,
    /// Another upstream has the address.
    Replaced,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, the answer was damaged, or an internal error was reported.
    Failed,
    /// The caller gave up; says nothing about the upstream.
    Cancelled,
}

/// One run of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The platform's words.
    pub record: UpstreamRecord,
    /// Calls of this entry in progress.
    pub in_flight: u32,
    pub(crate) load: Option<(Load, u64)>,
    /// No call goes there before this time, in milliseconds.
    pub(crate) down_until_ms: u64,
    /// Failed connections in a row.
    pub(crate) refusals: u32,
    /// Failed calls, each counting half as much after the half-life.
    pub(crate) failures: f64,
    pub(crate) failures_at_ms: u64,
    /// Moving average of the latency, in milliseconds; none before the first answer.
    pub(crate) latency_ms: Option<f64>,
    pub(crate) latency_at_ms: u64,
    /// Taken for cold until this time, in milliseconds.
    pub(crate) cold_until_ms: u64,
    /// Position of this entry among all when ordered for the upstream.
    pub(crate) entry_rank: usize,
    /// This entry's part of the cold limit.
    pub(crate) cold_share: ColdShare,
    /// Missing from the list after an outage; removed at this time unless it is listed again.
    pub(crate) lapses_at_ms: Option<u64>,
}

impl Upstream {
    pub(crate) fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            load: None,
            down_until_ms: 0,
            refusals: 0,
            failures: 0.0,
            failures_at_ms: 0,
            latency_ms: None,
            latency_at_ms: 0,
            cold_until_ms: 0,
            entry_rank: usize::MAX,
            cold_share: ColdShare::new(),
            lapses_at_ms: None,
        }
    }

    /// Tells whether the upstream is taken for cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Tells whether a failed connection keeps the upstream out.
    pub fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_until_ms
    }
}
