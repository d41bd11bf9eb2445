use std::sync::atomic::{AtomicUsize, Ordering};

use super::*;

/// Starts a task that ends in `end` on each of its first `failures` runs and then waits.
fn spawn_failing(supervisor: &Supervisor, failures: usize, end: fn()) -> Arc<AtomicUsize> {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervisor.spawn("failing", &CancellationToken::new(), move || {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            if run < failures {
                end();
            } else {
                std::future::pending::<()>().await;
            }
        }
    });
    runs
}

/// RECOVER: a task that panicked was gone for good, and the process went on saying that it was ready.
#[tokio::test]
async fn a_task_that_panics_is_started_again_and_the_process_is_unhealthy_meanwhile() {
    let supervisor = Supervisor::new(Clock::new());
    assert!(supervisor.is_healthy());
    let runs = spawn_failing(&supervisor, 1, || panic!("expected by the test"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!supervisor.is_healthy());
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!((runs.load(Ordering::SeqCst), supervisor.failures()), (2, 1));
    tokio::time::sleep(Duration::from_millis(UNHEALTHY_MS)).await;
    assert!(supervisor.is_healthy());
}

#[tokio::test]
async fn a_task_that_ends_early_counts_as_failed() {
    let supervisor = Supervisor::new(Clock::new());
    let runs = spawn_failing(&supervisor, 1, || {});
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!supervisor.is_healthy());
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_task_that_keeps_failing_keeps_the_process_unhealthy() {
    let supervisor = Supervisor::new(Clock::new());
    let runs = spawn_failing(&supervisor, usize::MAX, || panic!("expected by the test"));
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!supervisor.is_healthy());
    }
    let runs = runs.load(Ordering::SeqCst);
    assert!((4..12).contains(&runs), "{runs} runs");
}

#[tokio::test]
async fn a_task_that_ends_after_the_stop_has_not_failed() {
    let stop = CancellationToken::new();
    let supervisor = Supervisor::new(Clock::new());
    let task_stop = stop.clone();
    let task = supervisor.spawn("stopped", &stop, move || task_stop.clone().cancelled_owned());
    stop.cancel();
    task.await.unwrap();
    assert_eq!(supervisor.failures(), 0);
}
