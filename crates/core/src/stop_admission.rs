//! Which requests a stopping entry still takes.
//!
//! Load that this answers: a planned stop under traffic. For some seconds the balancer still sends new
//! connections, and other entries could take each request as well. One that is taken and can't be
//! answered before the process is killed is lost, and must not be repeated if it may have run; one that is
//! refused at once costs its caller a connection to another entry.

use crate::FastMap;

/// Length of a window in which durations are compared, in milliseconds.
const WINDOW_MS: u64 = 30_000;
/// Factor by which a request may last longer than the longest one of its route lately.
const MARGIN_FACTOR: f64 = 1.25;

/// The times of a planned stop, in milliseconds on the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until then, the balancer may not know yet that the entry stops.
    pub notice_ends_ms: u64,
    /// Until then, a response has to be complete.
    pub cutoff_ms: u64,
}

impl StopSchedule {
    /// Tells whether a request that would be sent now may be taken.
    ///
    /// A request is certain to end by its deadline. Before the balancer has noticed, one that is expected
    /// to end in time is taken too; later ones are few, and other entries serve them at once.
    pub fn admits(&self, now_ms: u64, deadline_ms: u64, expected_ms: Option<u64>) -> bool {
        if deadline_ms <= self.cutoff_ms {
            return true;
        }
        if now_ms >= self.notice_ends_ms {
            return false;
        }
        expected_ms.is_some_and(|it| now_ms.saturating_add(it) <= self.cutoff_ms)
    }
}

/// Longest recent durations of requests, by route.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    routes: FastMap<String, LongestDuration>,
    /// Window in which routes were last forgotten.
    expired_window: u64,
}

/// Longest duration in the current window and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct LongestDuration {
    window: u64,
    current_ms: u64,
    former_ms: u64,
}

impl RouteDurations {
    /// Records the time from a request's arrival to the end of its response.
    pub fn record(&mut self, route: &str, took_ms: u64, now_ms: u64) {
        let longest = match self.routes.get_mut(route) {
            Some(longest) => longest,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        longest.advance(now_ms / WINDOW_MS);
        longest.current_ms = longest.current_ms.max(took_ms);
    }

    /// Returns how long a request of a route may last; none if none has ended lately.
    pub fn expected_ms(&self, route: &str, now_ms: u64) -> Option<u64> {
        let mut longest = *self.routes.get(route)?;
        longest.advance(now_ms / WINDOW_MS);
        let longest_ms = longest.current_ms.max(longest.former_ms);
        (longest_ms > 0).then_some((longest_ms as f64 * MARGIN_FACTOR) as u64)
    }

    /// Forgets the routes of which no request has ended lately; does so once in each window.
    pub fn expire(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window == self.expired_window {
            return;
        }
        self.expired_window = window;
        self.routes.retain(|_, it| it.window + 1 >= window);
    }
}

impl LongestDuration {
    fn advance(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        self.former_ms = if window == self.window + 1 { self.current_ms } else { 0 };
        self.current_ms = 0;
        self.window = window;
    }
}

#[cfg(test)]
mod tests;
