//! Number of calls that the upstream beside an agent may run at once.
//!
//! An upstream counts as cold until it shows itself warm, also right after the agent's own start.
//! While it is cold, no call starts beyond the cold limit. Once it is warm, the limit grows window
//! by window and adapts to the latency that the calls see.

mod ramp;
#[cfg(test)]
mod tests;

use slotmap::{SlotMap, new_key_type};

use crate::capacity::ramp::{Ramp, Sample};

/// Completions of steady latency that show warmth when probes don't report it.
pub const WARM_COMPLETIONS: u32 = 3;

/// Largest ratio between the latencies of two consecutive completions that count as steady.
const STEADY_FACTOR: f64 = 2.0;

/// Calls overdue at the same time that count as a latency jump.
const OVERDUE_CALLS: usize = 3;

/// Time after a refused connection in which no call starts unless a probe is answered, in
/// milliseconds.
const CONNECT_BACKOFF_MS: u64 = 500;

new_key_type! {
    /// Identifies a call in progress.
    pub struct CallKey;
}

/// Names the time between two cold starts, as far as the agent knows of them.
///
/// Evidence of warmth counts only in the epoch in which it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(u32);

/// Limits of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityConfig {
    /// Calls that the warm upstream runs at once.
    pub concurrency: u32,
    /// Calls that the upstream can bear at once in a cold start.
    pub cold_concurrency: u32,
}

impl Default for CapacityConfig {
    fn default() -> Self {
        Self { concurrency: 8, cold_concurrency: 1 }
    }
}

impl CapacityConfig {
    /// Returns the cold limit, which is at least one and at most the warm limit.
    pub fn cold_limit(&self) -> u32 {
        self.cold_concurrency.clamp(1, self.ceiling())
    }

    fn ceiling(&self) -> u32 {
        self.concurrency.max(1)
    }
}

/// Answer of the upstream to a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Value of [`Capacity::epoch`] when the probe was sent.
    pub epoch: Epoch,
    /// Identifier that the upstream draws at each start, if it reports one.
    pub boot_id: Option<u64>,
    /// Whether the upstream is warm, if it reports that.
    pub warm: Option<bool>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered in full.
    Completed,
    /// The upstream reported a failure.
    Failed,
    /// The call was cancelled or lost, so its duration says nothing.
    Abandoned,
}

/// Mechanisms that tests switch off.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    /// Everything works.
    #[default]
    None,
    /// A changed boot identifier is ignored.
    IgnoreBootId,
    /// Connection failures and resets are ignored.
    IgnoreReset,
    /// Evidence of warmth counts whenever it was asked for.
    AcceptStaleEvidence,
    /// The upstream counts as warm from the start.
    StartWarm,
    /// The limit rises to its maximum as soon as the upstream is warm.
    NoSlowStart,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    epoch: Epoch,
    started_ms: u64,
    expected_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The upstream does not accept connections; without an end, until a probe is answered.
    Stopped { until_ms: Option<u64> },
    /// The upstream may be in a cold start.
    Cold { steady: u32, last_ratio: Option<f64> },
    /// The upstream showed itself warm.
    Warm,
}

const COLD: Phase = Phase::Cold { steady: 0, last_ratio: None };

/// Capacity of one upstream as its agent knows it.
#[derive(Clone, Debug)]
pub struct Capacity {
    config: CapacityConfig,
    phase: Phase,
    epoch: Epoch,
    boot_id: Option<u64>,
    /// Whether probes report warmth or its lack.
    reports_warmth: bool,
    /// Whether a latency jump contradicts probes that report warmth.
    distrusts_probes: bool,
    calls: SlotMap<CallKey, Call>,
    ramp: Ramp,
    #[cfg(feature = "sabotage")]
    sabotage: Sabotage,
}

impl Capacity {
    /// Creates the capacity of an upstream whose state is not known yet.
    pub fn new(config: CapacityConfig) -> Self {
        Self {
            config,
            phase: COLD,
            epoch: Epoch(0),
            boot_id: None,
            reports_warmth: false,
            distrusts_probes: false,
            calls: SlotMap::with_key(),
            ramp: Ramp::new(config.cold_limit(), config.ceiling()),
            #[cfg(feature = "sabotage")]
            sabotage: Sabotage::None,
        }
    }

    /// Switches one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = sabotage;
        if sabotage == Sabotage::StartWarm {
            self.phase = Phase::Warm;
        }
    }

    /// Takes over changed limits.
    ///
    /// Calls in progress continue; a lower limit holds for the next start.
    pub fn set_config(&mut self, config: CapacityConfig) {
        self.config = config;
        self.ramp.set_bounds(config.cold_limit(), config.ceiling());
    }

    /// Returns the current epoch, which a probe carries from its sending to its answer.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of calls in progress.
    pub fn running(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Tells whether the upstream has not shown itself warm.
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// Tells whether a jump of the latency contradicts probes that report warmth.
    pub fn distrusts_probes(&self) -> bool {
        self.distrusts_probes
    }

    /// Returns the number of calls that the upstream can bear at once in a cold start.
    pub fn cold_limit(&self) -> u32 {
        self.config.cold_limit()
    }

    /// Returns the number of calls that the upstream may run at once now.
    pub fn limit(&self) -> u32 {
        match self.phase {
            Phase::Stopped { .. } => 0,
            Phase::Cold { .. } => self.config.cold_limit(),
            Phase::Warm => self.warm_limit(),
        }
    }

    /// Returns the number of calls that the upstream is expected to run at once shortly.
    ///
    /// It exceeds the limit of a warm upstream whose limit still doubles.
    pub fn projected_limit(&self) -> u32 {
        match self.phase {
            Phase::Warm => self.ramp.projected_limit().max(self.limit()),
            Phase::Stopped { .. } | Phase::Cold { .. } => self.limit(),
        }
    }

    /// Tells whether a call may start now.
    pub fn can_start(&self) -> bool {
        self.running() < self.limit()
    }

    /// Starts a call that is expected to take `expected_ms`, if the limit allows it.
    pub fn try_start(&mut self, now_ms: u64, expected_ms: u64) -> Option<CallKey> {
        self.on_tick(now_ms);
        if !self.can_start() {
            return None;
        }

        let call = Call { epoch: self.epoch, started_ms: now_ms, expected_ms: expected_ms.max(1) };
        let key = self.calls.insert(call);
        self.ramp.on_start(self.calls.len() as u32);
        Some(key)
    }

    /// Ends a call; a key that has ended before is ignored.
    pub fn finish(&mut self, now_ms: u64, key: CallKey, end: CallEnd) {
        let Some(call) = self.calls.remove(key) else { return };
        if end == CallEnd::Abandoned || !self.counts_in_epoch(call.epoch) {
            return;
        }

        let engine_ms = now_ms.saturating_sub(call.started_ms).max(1);
        let ratio = engine_ms as f64 / call.expected_ms as f64;
        let ok = end == CallEnd::Completed;
        match self.phase {
            Phase::Stopped { .. } => {}
            // The upstream itself knows better than its latency whether it is warm.
            Phase::Cold { .. } if self.reports_warmth && !self.distrusts_probes => {}
            Phase::Cold { steady, last_ratio } => {
                self.on_cold_sample(steady, last_ratio, ratio, ok)
            }
            Phase::Warm => self.on_warm_sample(ratio, ok),
        }
    }

    /// Takes the upstream's answer to a health probe.
    pub fn on_probe(&mut self, probe: Probe) {
        if self.boot_id_changed(probe.boot_id) {
            self.clamp();
        }
        if probe.boot_id.is_some() {
            self.boot_id = probe.boot_id;
        }
        self.reports_warmth = probe.warm.is_some();
        if matches!(self.phase, Phase::Stopped { .. }) {
            self.phase = COLD;
        }

        match probe.warm {
            Some(true) if self.shows_warmth(&probe) => self.become_warm(),
            Some(false) => self.clamp(),
            _ => {}
        }
    }

    /// Notes that a connection to the upstream was refused or timed out.
    ///
    /// No call starts for a while, unless a probe is answered before.
    pub fn on_connect_failure(&mut self, now_ms: u64) {
        if self.ignores_reset() {
            return;
        }
        self.clamp();
        self.phase = Phase::Stopped { until_ms: Some(now_ms + CONNECT_BACKOFF_MS) };
    }

    /// Notes that a connection to the upstream broke.
    pub fn on_reset(&mut self) {
        if self.ignores_reset() {
            return;
        }
        self.clamp();
    }

    /// Notes that the upstream stopped; no call starts until a probe is answered.
    pub fn on_stop(&mut self) {
        self.clamp();
        self.phase = Phase::Stopped { until_ms: None };
    }

    /// Ends a backoff that is over and checks the calls in progress for a latency jump.
    ///
    /// Call it before [`Capacity::can_start`] or [`Capacity::limit`].
    pub fn on_tick(&mut self, now_ms: u64) {
        if let Phase::Stopped { until_ms: Some(until_ms) } = self.phase
            && now_ms >= until_ms
        {
            self.phase = COLD;
        }
        if self.phase != Phase::Warm {
            return;
        }
        let Some(overdue_ratio) = self.ramp.jump_ratio() else { return };

        let mut overdue = 0;
        for call in self.calls.values() {
            let elapsed_ms = now_ms.saturating_sub(call.started_ms);
            let ratio = elapsed_ms as f64 / call.expected_ms as f64;
            if call.epoch == self.epoch && ratio > overdue_ratio {
                overdue += 1;
            }
        }
        if overdue >= OVERDUE_CALLS {
            self.on_jump();
        }
    }

    fn on_cold_sample(&mut self, steady: u32, last_ratio: Option<f64>, ratio: f64, ok: bool) {
        if !ok {
            self.phase = COLD;
            return;
        }

        let is_steady = last_ratio
            .is_some_and(|last| ratio <= last * STEADY_FACTOR && last <= ratio * STEADY_FACTOR);
        let steady = if is_steady { steady + 1 } else { 1 };
        self.phase = Phase::Cold { steady, last_ratio: Some(ratio) };
        if steady >= WARM_COMPLETIONS {
            self.become_warm();
        }
    }

    fn on_warm_sample(&mut self, ratio: f64, ok: bool) {
        if self.ramp.on_sample(ratio, ok) == Sample::Jump {
            self.on_jump();
        }
    }

    fn on_jump(&mut self) {
        self.clamp();
        self.distrusts_probes = true;
    }

    fn become_warm(&mut self) {
        if self.phase == Phase::Warm {
            return;
        }
        self.distrusts_probes = false;
        self.phase = Phase::Warm;
        self.ramp.restart();
    }

    /// Assumes a cold start: whatever was known of the upstream before counts no more.
    fn clamp(&mut self) {
        self.phase = COLD;
        self.distrusts_probes = false;
        self.epoch.0 = self.epoch.0.wrapping_add(1);
    }

    fn boot_id_changed(&self, boot_id: Option<u64>) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreBootId {
            return false;
        }
        match (self.boot_id, boot_id) {
            (Some(old), Some(new)) => old != new,
            _ => false,
        }
    }

    fn shows_warmth(&self, probe: &Probe) -> bool {
        self.counts_in_epoch(probe.epoch) && !self.distrusts_probes
    }

    fn counts_in_epoch(&self, epoch: Epoch) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::AcceptStaleEvidence {
            return true;
        }
        epoch == self.epoch
    }

    fn ignores_reset(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreReset {
            return true;
        }
        false
    }

    fn warm_limit(&self) -> u32 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::NoSlowStart {
            return self.config.ceiling();
        }
        self.ramp.limit()
    }
}
