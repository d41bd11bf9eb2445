//! Faults that can be switched on while the stand-in runs, and its counters.

use serde::{Deserialize, Serialize};

/// How the stand-in fails while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Every call is answered with 503 and `Retry-After`.
    Unavailable,
    /// Every call is answered with 500, which says nothing about its effect.
    Error,
    /// Every call's connection is closed without an answer.
    Reset,
    /// No call is ever answered.
    Hang,
}

/// Faults that are switched on; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSwitches {
    /// Makes every call fail without effect and ends open watches.
    pub outage: Option<Outage>,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect without being answered.
    pub lost_answers: u32,
    /// Keeps watches open without delivering anything.
    pub silent_watches: bool,
    /// Age of the instance list that is served, in milliseconds.
    pub instances_lag_ms: u64,
}

/// Numbers of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Single reads and lists.
    pub reads: u64,
    /// Creations, updates and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that were refused with 429.
    pub limited: u64,
    /// Writes that took effect.
    pub effects: u64,
}
