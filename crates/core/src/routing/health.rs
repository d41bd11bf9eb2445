//! Health of one upstream: ejection after failures and careful return.

/// Consecutive failures that eject an upstream.
const EJECT_FAILURES: u32 = 3;

/// Backoff after the first ejection, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 1_000;

/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Time for which an unanswered attempt at return keeps others from starting, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Latency, relative to the rest of the pool, that ejects an upstream.
const EJECT_LATENCY_FACTOR: f64 = 3.0;

/// Samples that the latency of an upstream rests on before it counts.
const LATENCY_SAMPLES: u32 = 8;

/// Weight of a new sample in the latency average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Whether an upstream may receive work as far as its health tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// It receives its part of the work.
    InService,
    /// It was ejected and may receive one attempt, on which its return depends.
    ProbeDue,
    /// It was ejected and receives nothing.
    Ejected,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    InService,
    Ejected { until_ms: u64 },
    Probing { since_ms: u64 },
}

/// Health of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    consecutive_failures: u32,
    ejections: u32,
    ratio: f64,
    samples: u32,
}

impl Health {
    /// Creates the health of an upstream without history.
    pub fn new() -> Self {
        Self {
            state: State::InService,
            consecutive_failures: 0,
            ejections: 0,
            ratio: 1.0,
            samples: 0,
        }
    }

    /// Returns the health_status at `now_ms`.
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

    /// Returns the average ratio of actual to expected duration, once it rests on enough samples.
    pub fn latency_ratio(&self) -> Option<f64> {
        (self.samples >= LATENCY_SAMPLES).then_some(self.ratio)
    }

    /// Notes that an attempt was sent.
    pub(crate) fn on_sent(&mut self, now_ms: u64) {
        if self.status(now_ms) == HealthStatus::ProbeDue {
            self.state = State::Probing { since_ms: now_ms };
        }
    }

    /// Notes a complete answer and its ratio of actual to expected duration; returns whether an
    /// ejected upstream is still too slow to return.
    pub(crate) fn on_success(&mut self, ratio: f64, pool_ratio: f64) -> bool {
        self.consecutive_failures = 0;
        if matches!(self.state, State::Probing { .. }) {
            if ratio > pool_ratio * EJECT_LATENCY_FACTOR {
                return true;
            }
            // The latency before the ejection says nothing about the time after it.
            self.state = State::InService;
            self.samples = 0;
            self.ratio = ratio;
        }
        self.take_sample(ratio);
        false
    }

    /// Notes an attempt that was given up after it had run `ratio` times the expected duration.
    pub(crate) fn on_abandoned(&mut self, now_ms: u64, ratio: f64) {
        // Its whole duration would have been longer; a short one says nothing.
        if ratio > self.ratio {
            self.take_sample(ratio);
        }
        self.on_not_run(now_ms);
    }

    fn take_sample(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.ratio += (ratio - self.ratio) * LATENCY_WEIGHT;
    }

    /// Notes a failure; returns whether the upstream should be ejected.
    pub(crate) fn on_failure(&mut self) -> bool {
        match self.state {
            State::InService => {
                self.consecutive_failures += 1;
                self.consecutive_failures >= EJECT_FAILURES
            }
            State::Probing { .. } => true,
            // The attempt was sent before the ejection, which has been counted.
            State::Ejected { .. } => false,
        }
    }

    /// Notes that an attempt did not run, so that another one may decide about the return.
    pub(crate) fn on_not_run(&mut self, now_ms: u64) {
        if matches!(self.state, State::Probing { .. }) {
            self.state = State::Ejected { until_ms: now_ms };
        }
    }

    /// Tells whether the upstream is so much slower than its pool that it should be ejected.
    pub(crate) fn is_outlier(&self, pool_ratio: f64) -> bool {
        self.state == State::InService
            && self.latency_ratio().is_some_and(|it| it > pool_ratio * EJECT_LATENCY_FACTOR)
    }

    /// Takes the upstream out for a backoff that doubles with each ejection.
    pub(crate) fn eject(&mut self, now_ms: u64) {
        let backoff_ms = FIRST_BACKOFF_MS << self.ejections.min(16);
        self.state = State::Ejected { until_ms: now_ms + backoff_ms.min(MAX_BACKOFF_MS) };
        self.ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Forgets earlier ejections after a long time without one.
    pub(crate) fn forgive(&mut self) {
        if self.state == State::InService && self.samples >= 10 * LATENCY_SAMPLES {
            self.ejections = 0;
        }
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
