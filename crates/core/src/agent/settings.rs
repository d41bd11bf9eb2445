//! Settings of an agent's decisions.

use crate::{
    attempt::LedgerLimits, drain::GateSettings, ids::Incarnation, quarantine::QuarantineLimits,
};

/// Time for which an ended attempt is remembered, in milliseconds.
const RETENTION_MS: u64 = 5_000;
/// Longest accepted time between a submit and its dispatch limit, in milliseconds.
const DISPATCH_WINDOW_MS: u64 = 600_000;
/// Largest number of attempts remembered.
const MAX_RECORDS: usize = 100_000;
/// Total size of the output kept for ended attempts, in bytes.
const MAX_ENDED_OUTPUT_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a strike against a request counts, in milliseconds.
const STRIKE_RETENTION_MS: u64 = 3_600_000;
/// Largest number of strikes remembered.
const MAX_STRIKES: usize = 10_000;
/// Strikes after which a request is refused, until a document states another number.
const DEFAULT_STRIKES: u32 = 2;

/// Settings of an agent's decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// Pool that the upstream belongs to.
    pub pool: String,
    /// The upstream, its data centre and the limits of pause detection.
    pub gate: GateSettings,
    /// Bounds of the attempt ledger.
    pub ledger: LedgerLimits,
    /// Bounds of the quarantine.
    pub quarantine: QuarantineLimits,
}

/// Mechanisms that tests switch off.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// A mechanism of the capacity.
    Capacity(crate::capacity::Sabotage),
    /// A mechanism of the gate.
    Gate(crate::drain::Sabotage),
    /// A mechanism of the ledger.
    Ledger(crate::sabotage::Sabotage),
    /// Starts beyond the cold limit follow a probe closely.
    Evidence,
    /// Such starts rest also on a probe that was sent before the attempt arrived.
    EvidenceAfterArrival,
}

impl AgentSettings {
    /// Creates settings with the default bounds.
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
