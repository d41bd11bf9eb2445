//! Concurrency limit that an agent applies to its upstream.
//!
//! An upstream counts as cold until it is proved warm, also right after the start of the agent.
//! While it is cold, no call starts beyond the cold limit. Once it is warm, the limit grows window
//! by window and adapts to the observed latency.

mod adaptive_limit;
#[cfg(test)]
mod tests;

use slotmap::{SlotMap, new_key_type};

use crate::capacity::adaptive_limit::{AdaptiveLimit, SampleOutcome};

/// Consecutive completions of steady latency that prove an upstream warm if probes don't report it.
pub const WARM_COMPLETIONS: u32 = 3;

/// Maximum ratio between the latencies of two consecutive completions that count as steady.
const STEADY_FACTOR: f64 = 2.0;

/// Number of concurrently overdue calls that count as a latency jump.
const OVERDUE_CALLS: usize = 3;

/// Time after a failed connection in which no call starts unless a probe is answered, in
/// milliseconds.
const CONNECT_BACKOFF_MS: u64 = 500;

new_key_type! {
    /// Key of a call in progress.
    pub struct CallKey;
}

/// Number of the period between two cold starts that the agent detected or assumed.
///
/// A probe or call proves the upstream warm only in the epoch in which it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(u32);

/// Configured concurrency limits of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityConfig {
    /// Maximum number of concurrent calls while the upstream is warm.
    pub concurrency: u32,
    /// Maximum number of concurrent calls during a cold start.
    pub cold_concurrency: u32,
}

impl Default for CapacityConfig {
    fn default() -> Self {
        Self { concurrency: 8, cold_concurrency: 1 }
    }
}

impl CapacityConfig {
    /// Returns the limit during a cold start, at least one and at most the warm limit.
    pub fn cold_limit(&self) -> u32 {
        self.cold_concurrency.clamp(1, self.ceiling())
    }

    fn ceiling(&self) -> u32 {
        self.concurrency.max(1)
    }
}

/// Response of the upstream to a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Value of [`Capacity::epoch`] when the probe was sent.
    pub epoch: Epoch,
    /// Random identifier that the upstream chooses at each start, if it reports one.
    pub boot_id: Option<u64>,
    /// Whether the upstream is warm, if it reports it.
    pub warm: Option<bool>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream responded completely.
    Completed,
    /// The upstream reported a failure.
    Failed,
    /// The call was cancelled or lost, so its duration is not used.
    Abandoned,
}

/// Mechanisms that tests disable.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    /// No mechanism is disabled.
    #[default]
    None,
    /// A changed boot identifier is ignored.
    IgnoreBootId,
    /// Connection failures and resets are ignored.
    IgnoreReset,
    /// Probes and calls of earlier epochs are accepted as proof of warmth.
    IgnoreEpoch,
    /// The upstream counts as warm from the start.
    StartWarm,
    /// The limit jumps to its maximum as soon as the upstream is warm.
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
    /// The upstream does not accept connections; without a time, until a probe is answered.
    Stopped { until_ms: Option<u64> },
    /// The upstream may be in a cold start; counts consecutive completions of steady latency.
    Cold { steady: u32, last_ratio: Option<f64> },
    /// The upstream is proved warm.
    Warm,
}

const COLD: Phase = Phase::Cold { steady: 0, last_ratio: None };

/// Concurrency limit of one upstream and its calls in progress.
#[derive(Clone, Debug)]
pub struct Capacity {
    config: CapacityConfig,
    phase: Phase,
    epoch: Epoch,
    boot_id: Option<u64>,
    /// Whether the response to the last probe states if the upstream is warm.
    reports_warmth: bool,
    /// Whether a latency jump contradicts probes that report the upstream as warm.
    distrusts_probes: bool,
    calls: SlotMap<CallKey, Call>,
    warm_limit: AdaptiveLimit,
    #[cfg(feature = "sabotage")]
    sabotage: Sabotage,
}

impl Capacity {
    /// Creates the limit of an upstream whose state is unknown, which is assumed cold.
    pub fn new(config: CapacityConfig) -> Self {
        Self {
            config,
            phase: COLD,
            epoch: Epoch(0),
            boot_id: None,
            reports_warmth: false,
            distrusts_probes: false,
            calls: SlotMap::with_key(),
            warm_limit: AdaptiveLimit::new(config.cold_limit(), config.ceiling()),
            #[cfg(feature = "sabotage")]
            sabotage: Sabotage::None,
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = sabotage;
        if sabotage == Sabotage::StartWarm {
            self.phase = Phase::Warm;
        }
    }

    /// Changes the configured limits.
    ///
    /// Calls in progress continue; a lower limit applies from the next start.
    pub fn set_config(&mut self, config: CapacityConfig) {
        self.config = config;
        self.warm_limit.set_bounds(config.cold_limit(), config.ceiling());
    }

    /// Returns the current epoch, which the caller records when it sends a probe.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of calls in progress.
    pub fn running(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Returns whether the upstream is stopped or may be in a cold start.
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// Returns whether a latency jump contradicts probes that report the upstream as warm.
    pub fn distrusts_probes(&self) -> bool {
        self.distrusts_probes
    }

    /// Returns the concurrency limit during a cold start.
    pub fn cold_limit(&self) -> u32 {
        self.config.cold_limit()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        match self.phase {
            Phase::Stopped { .. } => 0,
            Phase::Cold { .. } => self.config.cold_limit(),
            Phase::Warm => self.current_warm_limit(),
        }
    }

    /// Returns the concurrency limit that is expected shortly.
    ///
    /// It exceeds the current limit only while the limit of a warm upstream is still doubling.
    pub fn projected_limit(&self) -> u32 {
        match self.phase {
            Phase::Warm => self.warm_limit.projected_limit().max(self.limit()),
            Phase::Stopped { .. } | Phase::Cold { .. } => self.limit(),
        }
    }

    /// Returns whether a call may start now.
    pub fn can_start(&self) -> bool {
        self.running() < self.limit()
    }

    /// Starts a call with an expected duration of `expected_ms`, if the limit allows it.
    pub fn try_start(&mut self, now_ms: u64, expected_ms: u64) -> Option<CallKey> {
        self.on_tick(now_ms);
        if !self.can_start() {
            return None;
        }

        let call = Call { epoch: self.epoch, started_ms: now_ms, expected_ms: expected_ms.max(1) };
        let key = self.calls.insert(call);
        self.warm_limit.on_start(self.calls.len() as u32);
        Some(key)
    }

    /// Records the end of a call; the key of a call that already ended is ignored.
    pub fn finish(&mut self, now_ms: u64, key: CallKey, end: CallEnd) {
        let Some(call) = self.calls.remove(key) else { return };
        if end == CallEnd::Abandoned || !self.is_current_epoch(call.epoch) {
            return;
        }

        let duration_ms = now_ms.saturating_sub(call.started_ms).max(1);
        let ratio = duration_ms as f64 / call.expected_ms as f64;
        let is_success = end == CallEnd::Completed;
        match self.phase {
            Phase::Stopped { .. } => {}
            // The upstream's own report takes precedence over its latency.
            Phase::Cold { .. } if self.reports_warmth && !self.distrusts_probes => {}
            Phase::Cold { steady, last_ratio } => {
                self.on_cold_sample(steady, last_ratio, ratio, is_success)
            }
            Phase::Warm => self.on_warm_sample(ratio, is_success),
        }
    }

    /// Records the upstream's response to a health probe.
    pub fn on_probe(&mut self, probe: Probe) {
        if self.is_boot_id_changed(probe.boot_id) {
            self.assume_cold_start();
        }
        if probe.boot_id.is_some() {
            self.boot_id = probe.boot_id;
        }
        self.reports_warmth = probe.warm.is_some();
        if matches!(self.phase, Phase::Stopped { .. }) {
            self.phase = COLD;
        }

        match probe.warm {
            Some(true) if self.proves_warmth(&probe) => self.set_warm(),
            Some(false) => self.assume_cold_start(),
            _ => {}
        }
    }

    /// Records that a connection to the upstream was refused or timed out.
    ///
    /// No call starts during a backoff, which ends early if a probe is answered.
    pub fn on_connect_failure(&mut self, now_ms: u64) {
        if self.ignores_reset() {
            return;
        }
        self.assume_cold_start();
        self.phase = Phase::Stopped { until_ms: Some(now_ms + CONNECT_BACKOFF_MS) };
    }

    /// Records that a connection to the upstream was reset.
    pub fn on_reset(&mut self) {
        if self.ignores_reset() {
            return;
        }
        self.assume_cold_start();
    }

    /// Records that the upstream stopped; no call starts until a probe is answered.
    pub fn on_stop(&mut self) {
        self.assume_cold_start();
        self.phase = Phase::Stopped { until_ms: None };
    }

    /// Ends an expired backoff and checks the calls in progress for a latency jump.
    ///
    /// Must be called before [`Capacity::can_start`] and [`Capacity::limit`].
    pub fn on_tick(&mut self, now_ms: u64) {
        if let Phase::Stopped { until_ms: Some(until_ms) } = self.phase
            && now_ms >= until_ms
        {
            self.phase = COLD;
        }
        if self.phase != Phase::Warm {
            return;
        }
        let Some(overdue_ratio) = self.warm_limit.jump_ratio() else { return };

        let mut overdue = 0;
        for call in self.calls.values() {
            let elapsed_ms = now_ms.saturating_sub(call.started_ms);
            let ratio = elapsed_ms as f64 / call.expected_ms as f64;
            if call.epoch == self.epoch && ratio > overdue_ratio {
                overdue += 1;
            }
        }
        if overdue >= OVERDUE_CALLS {
            self.on_latency_jump();
        }
    }

    fn on_cold_sample(
        &mut self,
        steady: u32,
        last_ratio: Option<f64>,
        ratio: f64,
        is_success: bool,
    ) {
        if !is_success {
            self.phase = COLD;
            return;
        }

        let is_steady = last_ratio
            .is_some_and(|last| ratio <= last * STEADY_FACTOR && last <= ratio * STEADY_FACTOR);
        let steady = if is_steady { steady + 1 } else { 1 };
        self.phase = Phase::Cold { steady, last_ratio: Some(ratio) };
        if steady >= WARM_COMPLETIONS {
            self.set_warm();
        }
    }

    fn on_warm_sample(&mut self, ratio: f64, is_success: bool) {
        if self.warm_limit.on_sample(ratio, is_success) == SampleOutcome::LatencyJump {
            self.on_latency_jump();
        }
    }

    fn on_latency_jump(&mut self) {
        self.assume_cold_start();
        self.distrusts_probes = true;
    }

    fn set_warm(&mut self) {
        if self.phase == Phase::Warm {
            return;
        }
        self.distrusts_probes = false;
        self.phase = Phase::Warm;
        self.warm_limit.restart();
    }

    /// Assumes a cold start: begins a new epoch, in which earlier probes and calls prove nothing.
    fn assume_cold_start(&mut self) {
        self.phase = COLD;
        self.distrusts_probes = false;
        self.epoch.0 = self.epoch.0.wrapping_add(1);
    }

    fn is_boot_id_changed(&self, boot_id: Option<u64>) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreBootId {
            return false;
        }
        match (self.boot_id, boot_id) {
            (Some(old), Some(new)) => old != new,
            _ => false,
        }
    }

    fn proves_warmth(&self, probe: &Probe) -> bool {
        self.is_current_epoch(probe.epoch) && !self.distrusts_probes
    }

    fn is_current_epoch(&self, epoch: Epoch) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::IgnoreEpoch {
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

    fn current_warm_limit(&self) -> u32 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::NoSlowStart {
            return self.config.ceiling();
        }
        self.warm_limit.limit()
    }
}
