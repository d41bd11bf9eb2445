//! Settings of the agent's state machine.

use crate::{
    attempt::LedgerLimits, drain::GateSettings, ids::Incarnation, quarantine::QuarantineLimits,
};

/// Time for which the record of an ended attempt is kept, in milliseconds.
const RETENTION_MS: u64 = 5_000;
/// Longest accepted time from a submit to its dispatch limit, in milliseconds.
const DISPATCH_WINDOW_MS: u64 = 600_000;
/// Maximum number of attempt records.
const MAX_RECORDS: usize = 100_000;
/// Maximum total size of the output kept for ended attempts, in bytes.
const MAX_ENDED_OUTPUT_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a strike against a request counts, in milliseconds.
const STRIKE_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of strikes kept.
const MAX_STRIKES: usize = 10_000;
/// Number of strikes at which a request is quarantined, until a document sets another.
const DEFAULT_STRIKES: u32 = 2;

/// Settings of the agent's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Pool that the upstream belongs to.
    pub pool: String,
    /// Upstream, data centre and pause detection of the gate for new work.
    pub gate: GateSettings,
    /// Limits of the attempt ledger.
    pub ledger: LedgerLimits,
    /// Limits of the quarantine.
    pub quarantine: QuarantineLimits,
}

/// A safety mechanism that tests can disable.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// A mechanism of the capacity limit.
    Capacity(crate::capacity::Sabotage),
    /// A mechanism of the gate.
    Gate(crate::drain::Sabotage),
    /// A mechanism of the ledger.
    Ledger(crate::sabotage::Sabotage),
    /// A start beyond the cold limit needs a recent probe.
    ProbeBeforeStart,
    /// The probe that permits a start beyond the cold limit was sent after the attempt arrived.
    ProbeAfterArrival,
    /// The request limit that the upstream states is ignored.
    RequestLimit,
}

impl AgentSettings {
    /// Creates settings with the default limits.
    pub fn new(incarnation: Incarnation, pool: String, gate: GateSettings) -> Self {
        Self {
            incarnation,
            pool,
            gate,
            ledger: LedgerLimits {
                retention_ms: RETENTION_MS,
                dispatch_window_ms: DISPATCH_WINDOW_MS,
                max_records: MAX_RECORDS,
                max_ended_output_bytes: MAX_ENDED_OUTPUT_BYTES,
            },
            quarantine: QuarantineLimits {
                strikes: DEFAULT_STRIKES,
                retention_ms: STRIKE_RETENTION_MS,
                max_strikes: MAX_STRIKES,
            },
        }
    }
}
