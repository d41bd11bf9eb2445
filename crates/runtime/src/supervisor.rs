//! Tasks that run as long as the process and are started again when they fail.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use log::error;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;

/// Delay before a failed task is started again.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Largest delay before a task that keeps failing is started again; shorter than
/// [`UNHEALTHY_MS`], so that such a task never counts as healthy.
const MAX_RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Time after the last failure for which a process counts as unhealthy, in milliseconds; longer than
/// the two readiness checks after which a balancer avoids an instance.
const UNHEALTHY_MS: u64 = 3_000;
/// Time after which a task that runs has no history of failures any more, in milliseconds.
const RECOVERY_MS: u64 = 30_000;
/// Value of the time of the last failure while there was none.
const NEVER: u64 = u64::MAX;

/// Starts tasks and watches them.
#[derive(Clone, Debug)]
pub struct Supervisor {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    clock: Clock,
    failures: AtomicU64,
    /// Time of the last failure, in milliseconds since the start.
    failed_ms: AtomicU64,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new(clock: Clock) -> Self {
        let (failures, failed_ms) = (AtomicU64::new(0), AtomicU64::new(NEVER));
        Self { state: Arc::new(State { clock, failures, failed_ms }) }
    }

    /// Runs a task, which `start` creates again after each panic and each end before `stop` is cancelled.
    ///
    /// The returned handle completes when the task has ended after `stop`.
    pub fn spawn<F>(
        &self,
        name: &'static str,
        stop: &CancellationToken,
        mut start: impl FnMut() -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (state, stop) = (self.state.clone(), stop.clone());
        tokio::spawn(async move {
            let mut delay = MIN_RESTART_DELAY;
            loop {
                let started_ms = state.clock.now_ms();
                let ended = AbortOnDrop(tokio::spawn(start())).join().await;
                if stop.is_cancelled() {
                    return;
                }
                let now_ms = state.clock.now_ms();
                state.record_failure(now_ms);
                if now_ms.saturating_sub(started_ms) >= RECOVERY_MS {
                    delay = MIN_RESTART_DELAY;
                }
                // The panic hook has logged where the task panicked.
                error!(
                    task = name,
                    panicked = ended.is_err(),
                    restart_ms = delay.as_millis() as u64;
                    "task ended unexpectedly, starting it again"
                );
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = stop.cancelled() => return,
                }
                delay = (delay * 2).min(MAX_RESTART_DELAY);
            }
        })
    }

    /// Tells whether no task has failed lately.
    pub fn is_healthy(&self) -> bool {
        let failed_ms = self.state.failed_ms.load(Ordering::Relaxed);
        failed_ms == NEVER || self.state.clock.now_ms() >= failed_ms.saturating_add(UNHEALTHY_MS)
    }

    /// Returns the number of failures so far.
    pub fn failures(&self) -> u64 {
        self.state.failures.load(Ordering::Relaxed)
    }
}

impl State {
    fn record_failure(&self, now_ms: u64) {
        self.failed_ms.store(now_ms, Ordering::Relaxed);
        self.failures.fetch_add(1, Ordering::Relaxed);
    }
}

/// Aborts the inner task when the supervising one is aborted.
struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    async fn join(mut self) -> Result<(), tokio::task::JoinError> {
        (&mut self.0).await
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
mod tests;
