use super::*;

const CONFIG: CapacityConfig = CapacityConfig { concurrency: 8, cold_concurrency: 1 };

fn probe(capacity: &Capacity, boot_id: u64, warm: Option<bool>) -> Probe {
    Probe { epoch: capacity.epoch(), boot_id: Some(boot_id), warm }
}

fn warm_capacity() -> Capacity {
    let mut capacity = Capacity::new(CONFIG);
    capacity.on_probe(probe(&capacity, 1, Some(true)));
    capacity
}

/// Runs rounds of as many calls as the limit allows, each of which takes `duration_ms`.
fn run_rounds(capacity: &mut Capacity, rounds: u32, duration_ms: u64) {
    for _ in 0..rounds {
        let mut calls = Vec::new();
        while let Some(call) = capacity.try_start(0, 100) {
            calls.push(call);
        }
        for call in calls {
            capacity.finish(duration_ms, call, CallEnd::Completed);
        }
    }
}

#[test]
fn unknown_upstream_is_limited_as_cold() {
    let mut capacity = Capacity::new(CONFIG);
    assert!(capacity.is_cold());
    assert!(capacity.try_start(0, 100).is_some());
    assert!(capacity.try_start(0, 100).is_none());
}

#[test]
fn limit_of_a_warm_upstream_doubles_up_to_the_maximum() {
    let mut capacity = warm_capacity();
    let mut limits = vec![capacity.limit()];
    for _ in 0..4 {
        run_rounds(&mut capacity, 1, 100);
        limits.push(capacity.limit());
    }
    assert_eq!(limits, [1, 2, 4, 8, 8]);
}

#[test]
fn steady_completions_prove_warmth_without_probes() {
    let mut capacity = Capacity::new(CONFIG);
    run_rounds(&mut capacity, 1, 4_000);
    run_rounds(&mut capacity, WARM_COMPLETIONS - 1, 100);
    assert!(capacity.is_cold());
    run_rounds(&mut capacity, 1, 100);
    assert!(!capacity.is_cold());
}

#[test]
fn new_boot_id_cold_report_or_reset_returns_to_the_cold_limit() {
    let events: [fn(&mut Capacity); 3] = [
        |it| it.on_probe(probe(it, 2, None)),
        |it| it.on_probe(probe(it, 1, Some(false))),
        Capacity::on_reset,
    ];
    for event in events {
        let mut capacity = warm_capacity();
        run_rounds(&mut capacity, 5, 100);
        event(&mut capacity);
        assert!(capacity.is_cold());
        assert_eq!(capacity.limit(), 1);
    }
}

#[test]
fn probe_sent_before_a_reset_does_not_prove_warmth() {
    let mut capacity = warm_capacity();
    let stale = probe(&capacity, 1, Some(true));
    capacity.on_reset();
    capacity.on_probe(stale);
    assert!(capacity.is_cold());
}

#[test]
fn latency_jump_of_completed_or_overdue_calls_is_taken_as_a_cold_start() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    run_rounds(&mut capacity, 1, 2_000);
    assert!(capacity.is_cold());

    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    for _ in 0..4 {
        capacity.try_start(0, 100);
    }
    assert!(capacity.try_start(2_000, 100).is_none());
    assert!(capacity.is_cold());
}

#[test]
fn after_a_latency_jump_only_steady_completions_prove_warmth() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    run_rounds(&mut capacity, 1, 2_000);
    capacity.on_probe(probe(&capacity, 1, Some(true)));
    assert!(capacity.is_cold());
    run_rounds(&mut capacity, WARM_COMPLETIONS, 2_000);
    assert!(!capacity.is_cold());
}

#[test]
fn congested_window_lowers_the_limit_by_a_quarter() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    run_rounds(&mut capacity, 1, 300);
    assert_eq!(capacity.limit(), 6);
}

#[test]
fn stopped_upstream_gets_no_calls_until_a_probe_is_answered() {
    let mut capacity = warm_capacity();
    capacity.on_stop();
    assert_eq!(capacity.limit(), 0);
    capacity.on_probe(probe(&capacity, 2, None));
    assert_eq!(capacity.limit(), 1);
}

#[test]
fn connect_failure_starts_a_backoff_and_returns_to_the_cold_limit() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    capacity.on_connect_failure(1_000);
    assert!(capacity.try_start(1_499, 100).is_none());
    assert!(capacity.try_start(1_500, 100).is_some());
    assert_eq!(capacity.limit(), 1);

    capacity.on_connect_failure(2_000);
    capacity.on_probe(probe(&capacity, 1, None));
    assert_eq!(capacity.limit(), 1);
}
