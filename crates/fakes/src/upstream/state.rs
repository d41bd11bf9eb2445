//! Switches and record of the upstream stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use yuccatrail_core::FastMap;

/// Behaviour of the stand-in, which can be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSwitches {
    /// Delay of each call before its response starts, in milliseconds.
    pub delay_ms: u64,
    /// Delay before each generated token, in milliseconds.
    pub token_delay_ms: u64,
    /// Number of calls that have to end before a cold engine is warm; with zero it starts warm.
    pub cold_calls: u32,
    /// Number of concurrent calls that a cold engine sustains; with more it restarts cold.
    pub cold_bearable: u32,
    /// Text that makes the process abort when a request body contains it.
    pub crash_on: Option<String>,
    /// Number of tokens after which a stream ends prematurely.
    pub cut_after_tokens: Option<u32>,
    /// HTTP status with which every call fails.
    pub fail_status: Option<u16>,
    /// Requests a second that every response states as the limit of the upstream.
    pub request_limit: Option<String>,
    /// Logs a line for each call before it starts, so that calls are known even after a crash.
    pub log_calls: bool,
}

/// Calls and engine state that the stand-in has observed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identifies the current start of the engine; changes with each restart.
    pub boot_id: u64,
    /// Whether the engine is warm.
    pub warm: bool,
    /// Number of calls in progress.
    pub running: u32,
    /// Highest number of calls in progress so far.
    pub peak: u32,
    /// Highest number of calls in progress in a cold engine so far.
    pub cold_peak: u32,
    /// Number of times that a cold engine was overloaded and restarted.
    pub overloads: u32,
    /// Number of calls started.
    pub calls: u64,
    /// Number of calls started, by idempotency key.
    pub runs_by_key: FastMap<String, u32>,
    /// Number of calls started, by request ID.
    pub runs_by_request: FastMap<String, u32>,
    /// Fencing numbers of the executed orders, in order of execution.
    pub fences: Vec<u64>,
    /// Number of calls in progress that started since the last engine start.
    started: u32,
    /// Number of calls that ended since the last engine start.
    warm_up: u32,
}

/// A call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Engine start during which the call started.
    boot_id: u64,
}

/// State of one upstream stand-in.
#[derive(Debug)]
pub struct Upstream {
    inner: Mutex<(UpstreamSwitches, UpstreamRecord)>,
}

impl Upstream {
    /// Creates an upstream whose engine has just started.
    pub fn new(switches: UpstreamSwitches, boot_id: u64) -> Self {
        let record =
            UpstreamRecord { boot_id, warm: switches.cold_calls == 0, ..UpstreamRecord::default() };
        Self { inner: Mutex::new((switches, record)) }
    }

    /// Returns the current switches.
    pub fn switches(&self) -> UpstreamSwitches {
        self.lock().0.clone()
    }

    /// Replaces the switches.
    pub fn set_switches(&self, switches: UpstreamSwitches) {
        self.lock().0 = switches;
    }

    /// Returns the record so far.
    pub fn record(&self) -> UpstreamRecord {
        self.lock().1.clone()
    }

    /// Makes the engine cold, as after a restart.
    pub fn turn_cold(&self) {
        let mut inner = self.lock();
        reset_to_cold(&mut inner.1);
    }

    /// Starts a call; returns none if it overloads the engine, which then restarts cold.
    ///
    /// Calls that were already in progress when the engine turned cold do not count towards the
    /// overload.
    pub fn start_call(&self, request: &str, key: Option<&str>) -> Option<Call> {
        let mut inner = self.lock();
        let (switches, record) = &mut *inner;
        record.calls += 1;
        *record.runs_by_request.entry(request.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *record.runs_by_key.entry(key.to_owned()).or_default() += 1;
        }
        record.running += 1;
        record.started += 1;
        record.peak = record.peak.max(record.running);
        let call = Call { boot_id: record.boot_id };
        if record.warm {
            return Some(call);
        }
        record.cold_peak = record.cold_peak.max(record.started);
        if record.started <= switches.cold_bearable {
            return Some(call);
        }
        record.overloads += 1;
        record.running -= 1;
        reset_to_cold(record);
        None
    }

    /// Ends a call; it counts for the warm-up only if the engine has not restarted meanwhile.
    pub fn end_call(&self, call: Call) {
        let mut inner = self.lock();
        let (switches, record) = &mut *inner;
        record.running -= 1;
        if call.boot_id != record.boot_id {
            return;
        }
        record.started -= 1;
        record.warm_up += 1;
        if record.warm_up >= switches.cold_calls {
            record.warm = true;
        }
    }

    /// Executes an order and records its fencing number.
    pub fn execute_order(&self, fence: u64) {
        self.lock().1.fences.push(fence);
    }

    fn lock(&self) -> MutexGuard<'_, (UpstreamSwitches, UpstreamRecord)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reset_to_cold(record: &mut UpstreamRecord) {
    record.boot_id += 1;
    record.warm = false;
    record.started = 0;
    record.warm_up = 0;
}
