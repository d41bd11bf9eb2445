//! Adaptive concurrency limit of a warm upstream.
//!
//! The limit doubles with each window until the first congested one (slow start). From then on it
//! grows by one call per window and shrinks by a quarter after each congested window. A window is
//! congested if its calls were slow or most of them failed.

/// Latency, relative to the baseline, above which a window counts as congested.
const CONGESTED_FACTOR: f64 = 2.5;

/// Latency, relative to the baseline, above which a call counts towards a latency jump.
const JUMP_FACTOR: f64 = 3.0;

/// Ratio of actual to expected duration up to which a call never counts towards a latency jump.
const MIN_JUMP_RATIO: f64 = 1.0;

/// Number of consecutive slow calls that make a latency jump.
const JUMP_CALLS: u32 = 3;

/// Smoothing factor of the latency baseline for calls that are faster than it.
const BASELINE_FALL_WEIGHT: f64 = 0.1;

/// Smoothing factor of the latency baseline for calls that are slower than it.
const BASELINE_RISE_WEIGHT: f64 = 0.02;

/// Factor by which a limit that is still doubling is expected to grow shortly.
const PROJECTION_FACTOR: u32 = 8;

/// Effect of a finished call on the state of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleOutcome {
    /// The upstream stays warm.
    Normal,
    /// The latency jumped as it does in a cold start.
    LatencyJump,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    finished: u32,
    failed: u32,
    ratio_sum: f64,
    peak_running: u32,
    /// Latency baseline at the start of the window.
    baseline: Option<f64>,
}

/// Concurrency limit that adapts to the ratio of actual to expected call duration.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    floor: u32,
    ceiling: u32,
    limit: u32,
    doubling: bool,
    window: Window,
    /// Moving average of the duration ratio, which falls faster than it rises.
    baseline: Option<f64>,
    consecutive_slow: u32,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `floor` and never exceeds `ceiling`.
    pub(crate) fn new(floor: u32, ceiling: u32) -> Self {
        Self {
            floor,
            ceiling,
            limit: floor,
            doubling: true,
            window: Window::default(),
            baseline: None,
            consecutive_slow: 0,
        }
    }

    /// Changes the bounds and clamps the current limit to them.
    pub(crate) fn set_bounds(&mut self, floor: u32, ceiling: u32) {
        self.floor = floor;
        self.ceiling = ceiling;
        self.limit = self.limit.clamp(floor, ceiling);
    }

    /// Restarts at the floor with doubling and clears the latency baseline.
    pub(crate) fn restart(&mut self) {
        *self = Self::new(self.floor, self.ceiling);
    }

    /// Returns the number of calls that may run concurrently.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the limit that is expected shortly under sufficient load.
    pub(crate) fn projected_limit(&self) -> u32 {
        match self.doubling {
            true => self.limit.saturating_mul(PROJECTION_FACTOR).min(self.ceiling),
            false => self.limit,
        }
    }

    /// Returns the duration ratio above which a call is overdue, or none without a baseline.
    pub(crate) fn jump_ratio(&self) -> Option<f64> {
        self.baseline.map(jump_ratio)
    }

    /// Records that a call started and `running` calls are now in progress.
    pub(crate) fn on_start(&mut self, running: u32) {
        self.window.peak_running = self.window.peak_running.max(running);
    }

    /// Records whether a call succeeded and its ratio of actual to expected duration.
    pub(crate) fn on_sample(&mut self, ratio: f64, is_success: bool) -> SampleOutcome {
        self.window.finished += 1;
        if is_success {
            self.window.ratio_sum += ratio;
            self.record_latency(ratio);
        } else {
            self.window.failed += 1;
        }

        if self.consecutive_slow >= JUMP_CALLS {
            return SampleOutcome::LatencyJump;
        }
        if self.window.finished >= self.limit {
            self.close_window();
        }
        SampleOutcome::Normal
    }

    fn record_latency(&mut self, ratio: f64) {
        let Some(baseline) = self.baseline else {
            self.baseline = Some(ratio);
            return;
        };

        if ratio > jump_ratio(baseline) {
            self.consecutive_slow += 1;
        } else {
            self.consecutive_slow = 0;
        }
        let weight = if ratio < baseline { BASELINE_FALL_WEIGHT } else { BASELINE_RISE_WEIGHT };
        self.baseline = Some(baseline + (ratio - baseline) * weight);
    }

    fn close_window(&mut self) {
        let next = Window { baseline: self.baseline, ..Window::default() };
        let window = std::mem::replace(&mut self.window, next);
        if Self::is_congested(&window) {
            self.doubling = false;
            self.limit = (self.limit - self.limit.div_ceil(4)).max(self.floor);
            return;
        }

        // A window that used less than half of the limit does not show that a higher one is safe.
        if window.peak_running * 2 < self.limit {
            return;
        }
        let raised = if self.doubling { self.limit * 2 } else { self.limit + 1 };
        self.limit = raised.min(self.ceiling);
    }

    fn is_congested(window: &Window) -> bool {
        if window.failed * 2 > window.finished {
            return true;
        }
        let succeeded = window.finished - window.failed;
        let Some(baseline) = window.baseline else { return false };
        succeeded > 0 && window.ratio_sum / f64::from(succeeded) > baseline * CONGESTED_FACTOR
    }
}

/// Returns the duration ratio above which a call counts towards a latency jump.
///
/// Where calls are far faster than expected, three times the baseline is still harmless.
fn jump_ratio(baseline: f64) -> f64 {
    (baseline * JUMP_FACTOR).max(MIN_JUMP_RATIO)
}
