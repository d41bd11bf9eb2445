//! Closed-loop load: each caller makes its next call as soon as its previous one has ended.

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

/// Number of failed calls by error: a broken exchange, a problem document or a wrong response.
pub type ErrorCounts = BTreeMap<String, u64>;

/// Results of a closed-loop run.
#[derive(Clone, Debug)]
pub struct ClosedLoopResult {
    /// Latency of successful calls, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Failed calls by error.
    pub errors: ErrorCounts,
    /// Duration of the run in seconds, until the last call has ended.
    pub seconds: f64,
}

impl ClosedLoopResult {
    /// Returns the successful calls per second.
    pub fn per_second(&self) -> f64 {
        self.latency_us.len() as f64 / self.seconds
    }
}

/// Runs `callers` concurrent callers for `duration`.
///
/// Each `call` gets a number that is unique in the run, and returns an error when the call fails
/// or its response is not the expected one.
pub async fn run<F, Fut>(callers: usize, duration: Duration, call: F) -> ClosedLoopResult
where
    F: Fn(u64) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<(), String>> + Send + 'static,
{
    let next_number = Arc::new(AtomicU64::new(0));
    let run_started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(run_caller(run_started + duration, next_number.clone(), call.clone()));
    }
    let mut latency_us = histogram();
    let mut errors = ErrorCounts::new();
    while let Some(joined) = tasks.join_next().await {
        let Ok((caller_latency_us, caller_errors)) = joined else {
            *errors.entry("caller failed".to_owned()).or_default() += 1;
            continue;
        };
        for (error, count) in caller_errors {
            *errors.entry(error).or_default() += count;
        }
        // Cannot fail: both histograms have the same bounds.
        let _ = latency_us.add(caller_latency_us);
    }
    ClosedLoopResult { latency_us, errors, seconds: run_started.elapsed().as_secs_f64() }
}

async fn run_caller<F, Fut>(
    end: Instant,
    next_number: Arc<AtomicU64>,
    call: F,
) -> (Histogram<u64>, ErrorCounts)
where
    F: Fn(u64) -> Fut,
    Fut: Future<Output = Result<(), String>>,
{
    let mut caller_latency_us = histogram();
    let mut errors = ErrorCounts::new();
    while Instant::now() < end {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        match call(number).await {
            Ok(()) => caller_latency_us.saturating_record(started.elapsed().as_micros() as u64),
            Err(error) => *errors.entry(error).or_default() += 1,
        }
    }
    (caller_latency_us, errors)
}
