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

/// Runs rounds of as many calls as the limit allows, each taking `engine_ms`.
fn run_rounds(capacity: &mut Capacity, rounds: u32, engine_ms: u64) {
    for _ in 0..rounds {
        let mut calls = Vec::new();
        while let Some(call) = capacity.try_start(0, 100) {
            calls.push(call);
        }
        for call in calls {
            capacity.finish(engine_ms, call, CallEnd::Completed);
        }
    }
}

#[test]
fn starts_cold() {
    let mut capacity = Capacity::new(CONFIG);
    assert!(capacity.is_cold());
    assert!(capacity.try_start(0, 100).is_some());
    assert!(capacity.try_start(0, 100).is_none());
}

#[test]
fn ramps_by_doubling_once_warm() {
    let mut capacity = warm_capacity();
    let mut limits = vec![capacity.limit()];
    for _ in 0..4 {
        run_rounds(&mut capacity, 1, 100);
        limits.push(capacity.limit());
    }
    assert_eq!(limits, [1, 2, 4, 8, 8]);
}

#[test]
fn steady_completions_show_warmth_without_probes() {
    let mut capacity = Capacity::new(CONFIG);
    run_rounds(&mut capacity, 1, 4_000);
    run_rounds(&mut capacity, WARM_COMPLETIONS - 1, 100);
    assert!(capacity.is_cold());
    run_rounds(&mut capacity, 1, 100);
    assert!(!capacity.is_cold());
}

#[test]
fn changed_boot_id_reported_cold_and_reset_clamp() {
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
fn probe_sent_before_a_reset_shows_nothing() {
    let mut capacity = warm_capacity();
    let late = probe(&capacity, 1, Some(true));
    capacity.on_reset();
    capacity.on_probe(late);
    assert!(capacity.is_cold());
}

#[test]
fn latency_jump_clamps_on_completion_and_while_calls_hang() {
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
fn steady_completions_rather_than_probes_end_a_latency_jump() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    run_rounds(&mut capacity, 1, 2_000);
    capacity.on_probe(probe(&capacity, 1, Some(true)));
    assert!(capacity.is_cold());
    run_rounds(&mut capacity, WARM_COMPLETIONS, 2_000);
    assert!(!capacity.is_cold());
}

#[test]
fn congestion_lowers_the_limit_step_by_step() {
    let mut capacity = warm_capacity();
    run_rounds(&mut capacity, 5, 100);
    run_rounds(&mut capacity, 1, 300);
    assert_eq!(capacity.limit(), 6);
}

#[test]
fn nothing_starts_after_a_stop_until_a_probe_is_answered() {
    let mut capacity = warm_capacity();
    capacity.on_stop();
    assert_eq!(capacity.limit(), 0);
    capacity.on_probe(probe(&capacity, 2, None));
    assert_eq!(capacity.limit(), 1);
}

#[test]
fn refused_connection_stops_for_a_while_and_clamps() {
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
