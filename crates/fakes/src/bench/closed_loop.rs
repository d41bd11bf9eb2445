//! Closed loop: each caller makes its next call as soon as the last one ended.

use std::{
    collections::BTreeMap,
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

/// Numbers of calls without the right answer, by what came instead.
pub type Faults = BTreeMap<String, u64>;

/// Results of a closed loop.
#[derive(Clone, Debug)]
pub struct ClosedLoop {
    /// Latency of right answers, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Calls without the right answer, by what came instead.
    pub faults: Faults,
    /// Length of the run in seconds.
    pub seconds: f64,
}

impl ClosedLoop {
    /// Returns the right answers a second.
    pub fn per_second(&self) -> f64 {
        self.latency_us.len() as f64 / self.seconds
    }
}

/// Runs `callers` callers for `length`; `call` gets a number of its own and returns what came
/// instead of the right answer, if so.
pub async fn run<F, Fut>(callers: usize, length: Duration, call: F) -> ClosedLoop
where
    F: Fn(u64) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<(), String>> + Send + 'static,
{
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(one_caller(start + length, next.clone(), call.clone()));
    }
    let mut latency_us = histogram();
    let mut faults = Faults::new();
    while let Some(joined) = tasks.join_next().await {
        let Ok((times, failed)) = joined else {
            *faults.entry("caller failed".to_owned()).or_default() += 1;
            continue;
        };
        for (fault, count) in failed {
            *faults.entry(fault).or_default() += count;
        }
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = latency_us.add(times);
    }
    ClosedLoop { latency_us, faults, seconds: start.elapsed().as_secs_f64() }
}

async fn one_caller<F, Fut>(end: Instant, next: Arc<AtomicU64>, call: F) -> (Histogram<u64>, Faults)
where
    F: Fn(u64) -> Fut,
    Fut: Future<Output = Result<(), String>>,
{
    let mut times = histogram();
    let mut faults = Faults::new();
    while Instant::now() < end {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let begin = Instant::now();
        match call(number).await {
            Ok(()) => times.saturating_record(begin.elapsed().as_micros() as u64),
            Err(fault) => *faults.entry(fault).or_default() += 1,
        }
    }
    (times, faults)
}
