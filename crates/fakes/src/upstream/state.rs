//! Switches and records of the upstream stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use yuccatrail_core::FastMap;

/// Behaviour that a test may change while the stand-in runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSwitches {
    /// Time that each call takes before its answer starts, in milliseconds.
    pub delay_ms: u64,
    /// Time between generated tokens, in milliseconds.
    pub token_delay_ms: u64,
    /// Calls that have to complete before a cold engine is warm; zero means always warm.
    pub cold_calls: u32,
    /// Calls that a cold engine bears at once; above this it restarts cold.
    pub cold_bearable: u32,
    /// Text in a body that makes the process abort.
    pub crash_on: Option<String>,
    /// Tokens after which a stream is cut.
    pub cut_after_tokens: Option<u32>,
    /// HTTP status that every call is answered with.
    pub fail_status: Option<u16>,
    /// Writes a line for each call before it begins, which outlives the process.
    pub log_calls: bool,
}

/// What the stand-in saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identity of the current engine start.
    pub boot_id: u64,
    /// Whether the engine is warm.
    pub warm: bool,
    /// Calls in progress.
    pub running: u32,
    /// Most calls in progress at once.
    pub peak: u32,
    /// Most calls in progress at once while cold.
    pub cold_peak: u32,
    /// Times that a cold engine was given more than it bears.
    pub overloads: u32,
    /// Calls begun.
    pub calls: u64,
    /// Calls begun, by idempotency key.
    pub runs_by_key: FastMap<String, u32>,
    /// Calls begun, by request identifier.
    pub runs_by_request: FastMap<String, u32>,
    /// Orders executed, as fencing numbers in order.
    pub fences: Vec<u64>,
    /// Calls in progress that began since the engine start.
    started: u32,
    /// Completed calls since the engine start.
    warm_up: u32,
}

/// A call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Engine start that the call belongs to.
    boot_id: u64,
}

/// State of one upstream stand-in.
#[derive(Debug)]
pub struct Upstream {
    inner: Mutex<(UpstreamSwitches, UpstreamRecord)>,
}

impl Upstream {
    /// Creates an engine that has just started.
    pub fn new(switches: UpstreamSwitches, boot_id: u64) -> Self {
        let record =
            UpstreamRecord { boot_id, warm: switches.cold_calls == 0, ..UpstreamRecord::default() };
        Self { inner: Mutex::new((switches, record)) }
    }

    /// Returns the switches in force.
    pub fn switches(&self) -> UpstreamSwitches {
        self.lock().0.clone()
    }

    /// Replaces the switches.
    pub fn set_switches(&self, switches: UpstreamSwitches) {
        self.lock().0 = switches;
    }

    /// Returns what the stand-in saw so far.
    pub fn record(&self) -> UpstreamRecord {
        self.lock().1.clone()
    }

    /// Makes the engine cold, as after a restart.
    pub fn turn_cold(&self) {
        let mut inner = self.lock();
        reset_to_cold(&mut inner.1);
    }

    /// Begins a call; returns none when the engine falls over instead.
    ///
    /// Calls that were in progress when the engine turned cold do not count against what it bears.
    pub fn begin(&self, request: &str, key: Option<&str>) -> Option<Call> {
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

    /// Ends a call.
    pub fn end(&self, call: Call) {
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
