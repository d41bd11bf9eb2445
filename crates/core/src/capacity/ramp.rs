//! Adaptive limit of a warm upstream.
//!
//! The limit grows by doubling until the latency first rises, then by one call per window, and
//! shrinks by a quarter after a window that was slow or failed.

/// Latency, relative to the usual one, above which a window counts as congested.
const CONGESTED_FACTOR: f64 = 2.5;

/// Latency, relative to the usual one, above which a call counts towards a jump.
const JUMP_FACTOR: f64 = 3.0;

/// Ratio of actual to expected duration up to which a call is never a sign of a cold start.
const UNSUSPICIOUS_RATIO: f64 = 1.0;

/// Consecutive calls above the jump factor that make a jump.
const JUMP_CALLS: u32 = 3;

/// Part of the difference by which a faster call lowers the usual latency.
const BASELINE_FALL: f64 = 0.1;

/// Part of the difference by which a slower call raises the usual latency.
const BASELINE_RISE: f64 = 0.02;

/// Factor by which a limit that still doubles is expected to grow shortly.
const OUTLOOK_FACTOR: u32 = 8;

/// What a completed call says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sample {
    /// Nothing unusual.
    Usual,
    /// The latency jumped, as in a cold start.
    Jump,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completed: u32,
    failed: u32,
    ratio_sum: f64,
    peak_running: u32,
    /// Usual latency when the window opened.
    baseline: Option<f64>,
}

/// Limit of a warm upstream, driven by the ratio of actual to expected call duration.
#[derive(Clone, Debug)]
pub(crate) struct Ramp {
    floor: u32,
    ceiling: u32,
    limit: u32,
    doubling: bool,
    window: Window,
    baseline: Option<f64>,
    slow_streak: u32,
}

impl Ramp {
    /// Creates a ramp that starts at `floor` and never exceeds `ceiling`.
    pub(crate) fn new(floor: u32, ceiling: u32) -> Self {
        Self {
            floor,
            ceiling,
            limit: floor,
            doubling: true,
            window: Window::default(),
            baseline: None,
            slow_streak: 0,
        }
    }

    /// Takes over changed bounds; the limit moves only as far as they force it.
    pub(crate) fn set_bounds(&mut self, floor: u32, ceiling: u32) {
        self.floor = floor;
        self.ceiling = ceiling;
        self.limit = self.limit.clamp(floor, ceiling);
    }

    /// Starts again at the floor and forgets the usual latency.
    pub(crate) fn restart(&mut self) {
        *self = Self::new(self.floor, self.ceiling);
    }

    /// Returns the number of calls that may run at once.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of calls that are expected to run at once shortly, if there are that many.
    pub(crate) fn projected_limit(&self) -> u32 {
        match self.doubling {
            true => self.limit.saturating_mul(OUTLOOK_FACTOR).min(self.ceiling),
            false => self.limit,
        }
    }

    /// Returns the ratio above which a call is overdue, once the usual latency is known.
    pub(crate) fn jump_ratio(&self) -> Option<f64> {
        self.baseline.map(jump_ratio)
    }

    /// Notes that a call started and `running` calls are now in progress.
    pub(crate) fn on_start(&mut self, running: u32) {
        self.window.peak_running = self.window.peak_running.max(running);
    }

    /// Takes the outcome of a call and its ratio of actual to expected duration.
    pub(crate) fn on_sample(&mut self, ratio: f64, ok: bool) -> Sample {
        self.window.completed += 1;
        if ok {
            self.window.ratio_sum += ratio;
            self.note_latency(ratio);
        } else {
            self.window.failed += 1;
        }

        if self.slow_streak >= JUMP_CALLS {
            return Sample::Jump;
        }
        if self.window.completed >= self.limit {
            self.close_window();
        }
        Sample::Usual
    }

    fn note_latency(&mut self, ratio: f64) {
        let Some(baseline) = self.baseline else {
            self.baseline = Some(ratio);
            return;
        };

        if ratio > jump_ratio(baseline) {
            self.slow_streak += 1;
        } else {
            self.slow_streak = 0;
        }
        let part = if ratio < baseline { BASELINE_FALL } else { BASELINE_RISE };
        self.baseline = Some(baseline + (ratio - baseline) * part);
    }

    fn close_window(&mut self) {
        let next = Window { baseline: self.baseline, ..Window::default() };
        let window = std::mem::replace(&mut self.window, next);
        if Self::is_congested(&window) {
            self.doubling = false;
            self.limit = (self.limit - self.limit.div_ceil(4)).max(self.floor);
            return;
        }

        // A limit that the load never came near says nothing about a higher one.
        if window.peak_running * 2 < self.limit {
            return;
        }
        let raised = if self.doubling { self.limit * 2 } else { self.limit + 1 };
        self.limit = raised.min(self.ceiling);
    }

    fn is_congested(window: &Window) -> bool {
        if window.failed * 2 > window.completed {
            return true;
        }
        let succeeded = window.completed - window.failed;
        let Some(baseline) = window.baseline else { return false };
        succeeded > 0 && window.ratio_sum / f64::from(succeeded) > baseline * CONGESTED_FACTOR
    }
}

/// Returns the ratio above which a call is a sign of a cold start.
///
/// Where calls are far faster than expected, three times their usual duration still is no trouble.
fn jump_ratio(baseline: f64) -> f64 {
    (baseline * JUMP_FACTOR).max(UNSUSPICIOUS_RATIO)
}
