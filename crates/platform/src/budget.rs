//! Rate limits and counters for the calls of one process to the platform.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use derive_more::Display;

use crate::BudgetSettings;

/// Kind of a call, as the platform counts it; each kind has its own rate limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of one object or a list.
    Read,
    /// A creation, update or deletion.
    Write,
    /// A watch or long poll, counted once when it is opened.
    Watch,
}

/// Numbers of calls since the creation of the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads and lists that were sent.
    pub reads: u64,
    /// Creations, updates and deletions that were sent.
    pub writes: u64,
    /// Watches and long polls that were opened.
    pub watches: u64,
    /// Calls that were refused because the rate limit would have delayed them for too long.
    pub refused: u64,
}

impl CallCounts {
    /// Counts one sent call of the given kind.
    pub fn add(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Write => self.writes += 1,
            CallKind::Watch => self.watches += 1,
        }
    }
}

/// Token bucket whose capacity is the number of calls allowed per second, but at least one.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled at `per_second` tokens per second.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self { per_second, tokens: per_second.max(1.0), updated: now }
    }

    /// Takes the token for one call and returns the delay until the call may be sent, or `None`
    /// without taking a token if the delay would exceed `max_wait`.
    pub fn take(&mut self, now: Instant, max_wait: Duration) -> Option<Duration> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        if missing > 0.0 && missing > max_wait.as_secs_f64() * self.per_second {
            return None;
        }
        self.tokens -= 1.0;
        if missing == 0.0 {
            return Some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64(missing / self.per_second))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let capacity = self.per_second.max(1.0);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(capacity);
        self.updated = now;
    }
}

/// Limits the rate of calls and counts them; clones of a client share it.
#[derive(Debug)]
pub struct CallBudget {
    max_wait: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    reads: TokenBucket,
    writes: TokenBucket,
    watches: TokenBucket,
    counts: CallCounts,
}

impl CallBudget {
    /// Creates a budget whose token buckets are full.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let state = State {
            reads: TokenBucket::new(settings.reads_per_second, now),
            writes: TokenBucket::new(settings.writes_per_second, now),
            watches: TokenBucket::new(settings.watches_per_second, now),
            counts: CallCounts::default(),
        };
        Self { max_wait: Duration::from_millis(settings.max_wait_ms), state: Mutex::new(state) }
    }

    /// Reserves one call and returns the delay until it may be sent, or `None` if it is refused.
    pub fn reserve(&self, kind: CallKind, now: Instant) -> Option<Duration> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = match kind {
            CallKind::Read => &mut state.reads,
            CallKind::Write => &mut state.writes,
            CallKind::Watch => &mut state.watches,
        };
        let wait = bucket.take(now, self.max_wait);
        match wait {
            Some(_) => state.counts.add(kind),
            None => state.counts.refused += 1,
        }
        wait
    }

    /// Returns the numbers of calls made so far.
    pub fn counts(&self) -> CallCounts {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).counts
    }
}
