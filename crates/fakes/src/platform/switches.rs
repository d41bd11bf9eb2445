//! Switches for fault injection while the stand-in runs, and its counters.

use serde::{Deserialize, Serialize};

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Every call fails with status 503 and `Retry-After`.
    Unavailable,
    /// Every call fails with status 500, which leaves open whether it took effect.
    Error,
    /// The connection of every call is closed without a response.
    Reset,
    /// Calls never get a response.
    Hang,
}

/// Faults that are injected; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSwitches {
    /// Outage in which every call fails without effect and open watches are aborted.
    pub outage: Option<Outage>,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of further successful writes whose response is lost: the connection is closed
    /// instead.
    pub lost_answers: u32,
    /// Keeps watches open without delivering events.
    pub silent_watches: bool,
    /// Lag of the instance list in reads and watches, in milliseconds.
    pub instances_lag_ms: u64,
}

/// Numbers of calls since the stand-in started, whatever their result; calls during an outage are
/// not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of single objects and lists.
    pub reads: u64,
    /// Calls to create, update or delete an object.
    pub writes: u64,
    /// Calls to open a watch.
    pub watches: u64,
    /// Calls that the rate limit refused with status 429.
    pub limited: u64,
    /// Writes that took effect.
    pub effects: u64,
}
