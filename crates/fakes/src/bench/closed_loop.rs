//! Closed loop: each caller makes its next call as soon as the last one ended.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use crate::load::tally::histogram;

/// Results of a closed loop.
#[derive(Clone, Debug)]
pub struct ClosedLoop {
    /// Latency of right answers, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Calls without the right answer.
    pub faults: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
}

impl ClosedLoop {
    /// Returns the right answers a second.
    pub fn per_second(&self) -> f64 {
        self.latency_us.len() as f64 / self.seconds
    }
}

/// Runs `callers` callers for `length`; `call` gets a number of its own and tells whether the
/// answer was right.
pub async fn run<F, Fut>(callers: usize, length: Duration, call: F) -> ClosedLoop
where
    F: Fn(u64) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = bool> + Send + 'static,
{
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(one_caller(start + length, next.clone(), call.clone()));
    }
    let mut latency_us = histogram();
    let mut faults = 0;
    while let Some(joined) = tasks.join_next().await {
        let Ok((times, failed)) = joined else {
            faults += 1;
            continue;
        };
        faults += failed;
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = latency_us.add(times);
    }
    ClosedLoop { latency_us, faults, seconds: start.elapsed().as_secs_f64() }
}

async fn one_caller<F, Fut>(end: Instant, next: Arc<AtomicU64>, call: F) -> (Histogram<u64>, u64)
where
    F: Fn(u64) -> Fut,
    Fut: Future<Output = bool>,
{
    let mut times = histogram();
    let mut faults = 0;
    while Instant::now() < end {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let begin = Instant::now();
        if call(number).await {
            times.saturating_record(begin.elapsed().as_micros() as u64);
        } else {
            faults += 1;
        }
    }
    (times, faults)
}
