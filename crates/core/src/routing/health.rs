//! Passive health check of one upstream: ejection with exponential backoff and return by a probe.

/// Number of consecutive failures after which an upstream is ejected.
const EJECT_FAILURES: u32 = 3;

/// Backoff after the first ejection, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 1_000;

/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Time after which an unanswered probe no longer blocks the next one, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Latency relative to the pool's median above which an upstream is ejected.
const EJECT_LATENCY_FACTOR: f64 = 3.0;

/// Number of samples from which the latency average of an upstream is used.
const MIN_LATENCY_SAMPLES: u32 = 8;

/// Weight of a new sample in the exponential moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Whether the health of an upstream allows it to receive attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// It receives attempts without restriction.
    InService,
    /// Its backoff after an ejection is over; one attempt, the probe, decides whether it returns.
    ProbeDue,
    /// It is ejected and in its backoff, or its probe is in progress.
    Ejected,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    InService,
    Ejected { until_ms: u64 },
    Probing { since_ms: u64 },
}

/// Failure and latency record of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    ejections: u32,
    /// Moving average of the ratio of actual to expected duration.
    mean_ratio: f64,
    samples: u32,
}

impl Health {
    /// Creates the record of an upstream that has received no attempts.
    pub fn new() -> Self {
        Self {
            state: State::InService,
            consecutive_failures: 0,
            ejections: 0,
            mean_ratio: 1.0,
            samples: 0,
        }
    }

    /// Returns the status at `now_ms`.
    pub fn status(&self, now_ms: u64) -> HealthStatus {
        match self.state {
            State::InService => HealthStatus::InService,
            State::Ejected { until_ms } if now_ms >= until_ms => HealthStatus::ProbeDue,
            State::Ejected { .. } => HealthStatus::Ejected,
            State::Probing { since_ms } if now_ms >= since_ms + PROBE_TIMEOUT_MS => {
                HealthStatus::ProbeDue
            }
            State::Probing { .. } => HealthStatus::Ejected,
        }
    }

    /// Returns the average ratio of actual to expected duration, or none while samples are too few.
    pub fn mean_latency_ratio(&self) -> Option<f64> {
        (self.samples >= MIN_LATENCY_SAMPLES).then_some(self.mean_ratio)
    }

    /// Records that an attempt was sent; if a probe is due, this attempt is it.
    pub(crate) fn on_sent(&mut self, now_ms: u64) {
        if self.status(now_ms) == HealthStatus::ProbeDue {
            self.state = State::Probing { since_ms: now_ms };
        }
    }

    /// Records a completed attempt and its ratio of actual to expected duration; returns whether it
    /// was a probe that shows the upstream to be still too slow.
    pub(crate) fn on_success(&mut self, ratio: f64, pool_ratio: f64) -> bool {
        self.consecutive_failures = 0;
        if matches!(self.state, State::Probing { .. }) {
            if ratio > pool_ratio * EJECT_LATENCY_FACTOR {
                return true;
            }
            // Samples from before the ejection don't describe the upstream after its return.
            self.state = State::InService;
            self.samples = 0;
            self.mean_ratio = ratio;
        }
        self.record_sample(ratio);
        false
    }

    /// Records an attempt that was abandoned after `ratio` times its expected duration.
    pub(crate) fn on_abandoned(&mut self, now_ms: u64, ratio: f64) {
        // The full duration would have been longer, so a ratio below the average shows nothing.
        if ratio > self.mean_ratio {
            self.record_sample(ratio);
        }
        self.on_not_run(now_ms);
    }

    fn record_sample(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.mean_ratio += (ratio - self.mean_ratio) * LATENCY_WEIGHT;
    }

    /// Records a failed attempt; returns whether the upstream should be ejected.
    pub(crate) fn on_failure(&mut self) -> bool {
        match self.state {
            State::InService => {
                self.consecutive_failures += 1;
                self.consecutive_failures >= EJECT_FAILURES
            }
            State::Probing { .. } => true,
            // The attempt was sent before the ejection, which already accounts for it.
            State::Ejected { .. } => false,
        }
    }

    /// Records an attempt that did not run; if it was a probe, the next probe is due at once.
    pub(crate) fn on_not_run(&mut self, now_ms: u64) {
        if matches!(self.state, State::Probing { .. }) {
            self.state = State::Ejected { until_ms: now_ms };
        }
    }

    /// Returns whether the upstream is in service and so slow relative to `pool_ratio`, the median
    /// of its pool, that it should be ejected.
    pub(crate) fn is_latency_outlier(&self, pool_ratio: f64) -> bool {
        self.state == State::InService
            && self.mean_latency_ratio().is_some_and(|it| it > pool_ratio * EJECT_LATENCY_FACTOR)
    }

    /// Ejects the upstream for a backoff that doubles with each ejection.
    pub(crate) fn eject(&mut self, now_ms: u64) {
        let backoff_ms = FIRST_BACKOFF_MS << self.ejections.min(16);
        self.state = State::Ejected { until_ms: now_ms + backoff_ms.min(MAX_BACKOFF_MS) };
        self.ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Resets the backoff to its first value once the upstream has served many attempts in a row
    /// without an ejection.
    pub(crate) fn reset_backoff_if_stable(&mut self) {
        if self.state == State::InService && self.samples >= 10 * MIN_LATENCY_SAMPLES {
            self.ejections = 0;
        }
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
