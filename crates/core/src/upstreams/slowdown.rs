//! How much longer than usual work takes on an upstream at the moment, as its load reports state it.

use crate::upstreams::{Load, Upstream};

/// Time in which a stated slowdown decays to 1, in milliseconds. Machines are slow for about half a
/// second at a time, so an older statement says nothing about the present.
const DECAY_MS: f64 = 1_000.0;
/// Bounds of a slowdown. Above the upper one an upstream is the last choice anyway; below the lower
/// one a wrong figure would attract the calls of all entries.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 10.0;

impl Load {
    /// Bounds the slowdown; one that is not a positive number is discarded. Returns whether the
    /// stated value was valid.
    pub(crate) fn bound_slowdown(&mut self) -> bool {
        let Some(stated) = self.slowdown else { return true };
        let is_positive = stated.is_finite() && stated > 0.0;
        self.slowdown = is_positive.then(|| stated.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN));
        is_positive && stated <= MAX_SLOWDOWN
    }
}

impl Upstream {
    /// Returns the multiple of the usual time that work takes now, as far as a recent report states it.
    pub fn slowdown_at(&self, now_ms: u64) -> f64 {
        let Some((load, at_ms)) = self.load else { return 1.0 };
        let age_ms = now_ms.saturating_sub(at_ms) as f64;
        let weight = (1.0 - age_ms / DECAY_MS).max(0.0);
        1.0 + (load.slowdown.unwrap_or(1.0) - 1.0) * weight
    }
}
