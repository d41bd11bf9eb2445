use proptest::{prelude::*, test_runner::RngSeed};
use slotmap::SlotMap;

use crate::{
    batching::{
        AvailableUpstream, Batcher, CallResult, GroupOutcome, PieceResult, PieceSource,
        PlannedCall, PreferredDataCentre, StageWork,
    },
    route_table::StageService,
    upstreams::UpstreamKey,
};

const SERVICE: StageService = StageService {
    slots: 1,
    queue: 2,
    batch: 10,
    call_ms: 200.0,
    piece_ms: 17.0,
    result_capacity_bytes: 22_000_000,
    result_ttl_ms: 4_000,
};

fn upstreams(number: usize) -> Vec<AvailableUpstream> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    (0..number)
        .map(|_| AvailableUpstream { key: keys.insert(()), data_centre: "x".into() })
        .collect()
}

fn work(pieces: usize, soft_deadline_ms: u64, deadline_ms: u64) -> StageWork {
    StageWork {
        request_id: format!("r{soft_deadline_ms}"),
        stage: 0,
        pieces,
        source: PieceSource::Key("k".to_owned()),
        is_only_reader: true,
        result_bytes: 1_500_000,
        priority: 0,
        soft_deadline_ms,
        deadline_ms,
        preferred_data_centre: None,
    }
}

fn answer(planned: &PlannedCall) -> CallResult {
    let completed = |it: usize| PieceResult::Completed(format!("{:?}/{it}", planned.call));
    CallResult::Answered((0..planned.pieces.len()).map(completed).collect())
}

#[test]
fn pieces_waiting_for_a_busy_upstream_are_batched_into_one_call() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(SERVICE);
    let first = batcher.submit(work(1, 1_000, 5_000));
    let planned = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(planned.pieces, [(first, 0)]);
    let second = batcher.submit(work(2, 1_100, 5_000));
    let third = batcher.submit(work(1, 1_200, 5_000));
    assert_eq!(batcher.next_call(&upstreams, 50), None);
    let settled = batcher.finish(planned.call, answer(&planned), 217);
    assert_eq!(settled.ended[0].0, first);
    assert_eq!(settled.ended[0].1, GroupOutcome::Completed);
    let planned = batcher.next_call(&upstreams, 217).unwrap();
    assert_eq!(planned.pieces, [(second, 0), (second, 1), (third, 0)]);
}

#[test]
fn on_time_work_is_scheduled_before_late_work() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(StageService { batch: 1, ..SERVICE });
    let late = batcher.submit(work(1, 100, 5_000));
    let on_time = batcher.submit(work(1, 3_000, 6_000));
    let planned = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(planned.pieces, [(on_time, 0)]);
    batcher.finish(planned.call, answer(&planned), 217);
    assert_eq!(batcher.next_call(&upstreams, 217).unwrap().pieces, [(late, 0)]);
}

#[test]
fn a_call_is_limited_to_the_results_that_fit_into_the_upstreams_memory() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(StageService { result_capacity_bytes: 5_000_000, ..SERVICE });
    batcher.submit(work(5, 5_000, 9_000));
    let planned = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(planned.pieces.len(), 3);
    let CallResult::Answered(results) = answer(&planned) else { unreachable!() };
    batcher.finish(planned.call, CallResult::Answered(results.clone()), 250);
    assert_eq!(batcher.next_call(&upstreams, 250), None);
    let PieceResult::Completed(handle) = &results[0] else { unreachable!() };
    batcher.release(handle);
    assert_eq!(batcher.next_call(&upstreams, 250).unwrap().pieces.len(), 1);
}

#[test]
fn a_stage_starts_only_if_all_its_results_fit_into_memory() {
    let upstreams = upstreams(2);
    let mut batcher =
        Batcher::new(StageService { result_capacity_bytes: 6_000_000, batch: 3, ..SERVICE });
    // Each upstream has memory for four results; starting two stages of five would leave both unfinished.
    let first = batcher.submit(work(5, 1_000, 9_000));
    let second = batcher.submit(work(5, 2_000, 9_000));
    let mut calls = Vec::new();
    while let Some(planned) = batcher.next_call(&upstreams, 0) {
        calls.push(planned);
    }
    let pieces: Vec<_> = calls.iter().flat_map(|it| it.pieces.clone()).collect();
    assert_eq!(pieces, (0..5).map(|it| (first, it)).collect::<Vec<_>>());
    let mut handles = Vec::new();
    for planned in calls {
        let settled = batcher.finish(planned.call, answer(&planned), 300);
        handles.extend(settled.ended.into_iter().flat_map(|it| it.2));
    }
    assert_eq!(batcher.next_call(&upstreams, 300), None);
    for handle in handles {
        batcher.release(&handle);
    }
    assert!(batcher.next_call(&upstreams, 300).is_some_and(|it| it.pieces[0].0 == second));
}

#[test]
fn work_that_cannot_meet_its_deadline_expires_at_once() {
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(work(1, 100, 1_000));
    assert_eq!(batcher.expire(1, 783).ended, []);
    assert_eq!(batcher.expire(1, 784).ended, [(group, GroupOutcome::Late, Vec::new())]);
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn pieces_of_a_failed_call_are_retried_at_another_upstream() {
    let upstreams = upstreams(2);
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(work(2, 1_000, 5_000));
    let first = batcher.next_call(&upstreams, 0).unwrap();
    batcher.finish(first.call, CallResult::Failed, 10);
    let second = batcher.next_call(&upstreams, 10).unwrap();
    assert_ne!(second.upstream, first.upstream);
    let settled = batcher.finish(second.call, answer(&second), 250);
    assert_eq!(settled.ended.len(), 1);
    assert_eq!(settled.ended[0].0, group);
}

#[test]
fn pieces_of_an_overdue_call_run_twice_and_are_delivered_once() {
    let upstreams = upstreams(2);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(work(1, 1_000, 5_000));
    let first = batcher.next_call(&upstreams, 0).unwrap();
    batcher.requeue_overdue(500);
    assert_eq!(batcher.waiting(), 0);
    batcher.requeue_overdue(600);
    let second = batcher.next_call(&upstreams, 600).unwrap();
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(batcher.finish(second.call, answer(&second), 820).ended.len(), 1);
    let settled = batcher.finish(first.call, answer(&first), 900);
    assert_eq!(settled.ended, []);
    assert_eq!(settled.unused.len(), 1);
}

#[test]
fn a_slow_upstream_stays_idle_while_a_faster_one_would_finish_earlier() {
    let upstreams = upstreams(2);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(work(1, 9_000, 20_000));
    let slow = batcher.next_call(&upstreams, 0).unwrap();
    batcher.finish(slow.call, answer(&slow), 1_100);
    batcher.submit(work(1, 9_000, 20_000));
    let fast = batcher.next_call(&upstreams, 1_100).unwrap();
    assert_ne!(fast.upstream, slow.upstream);
    batcher.submit(work(1, 9_000, 20_000));
    assert_eq!(batcher.next_call(&upstreams, 1_110), None);
    batcher.finish(fast.call, answer(&fast), 1_317);
    assert_eq!(batcher.next_call(&upstreams, 1_317).unwrap().upstream, fast.upstream);
}

#[test]
fn a_piece_with_a_large_result_runs_in_its_preferred_data_centre_unless_time_is_short() {
    let mut upstreams = upstreams(2);
    upstreams[1].data_centre = "y".into();
    let local = upstreams[1].key;
    let mut batcher = Batcher::new(SERVICE);
    let preferred = PreferredDataCentre { data_centre: "y".into(), remote_bytes: 1_500_000 };
    let preferring_y = |soft_deadline_ms| StageWork {
        preferred_data_centre: Some(preferred.clone()),
        ..work(1, soft_deadline_ms, 9_000)
    };
    batcher.submit(preferring_y(3_000));
    let first = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(first.upstream, local);
    // The upstream in the preferred data centre is free again in time, so the other one stays idle.
    batcher.submit(preferring_y(3_000));
    assert_eq!(batcher.next_call(&upstreams, 10), None);
    // Without time to wait, the data centre is ignored.
    batcher.submit(preferring_y(500));
    assert!(batcher.next_call(&upstreams, 10).is_some_and(|it| it.upstream != local));
}

#[test]
fn a_call_takes_pieces_that_prefer_its_data_centre_first() {
    let mut upstreams = upstreams(2);
    upstreams[1].data_centre = "y".into();
    let (remote, local) = (upstreams[0].key, upstreams[1].key);
    let mut batcher = Batcher::new(SERVICE);
    let preferred = PreferredDataCentre { data_centre: "y".into(), remote_bytes: 360_000 };
    let small = |pieces, soft_deadline_ms| StageWork {
        result_bytes: 6_000,
        ..work(pieces, soft_deadline_ms, 9_000)
    };
    let preferring_y = batcher
        .submit(StageWork { preferred_data_centre: Some(preferred.clone()), ..small(8, 3_000) });
    let without_preference = batcher.submit(small(4, 3_100));
    let first = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(
        (first.upstream, first.pieces.len()),
        (local, 8),
        "a stage is not split unnecessarily"
    );
    assert!(first.pieces.iter().all(|it| it.0 == preferring_y));
    let second = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!((second.upstream, second.pieces.len()), (remote, 4));
    assert!(second.pieces.iter().all(|it| it.0 == without_preference));
}

#[test]
fn pieces_beyond_the_next_call_in_their_preferred_data_centre_run_elsewhere() {
    let mut upstreams = upstreams(2);
    upstreams[1].data_centre = "y".into();
    let (remote, local) = (upstreams[0].key, upstreams[1].key);
    let mut batcher = Batcher::new(SERVICE);
    let preferred = PreferredDataCentre { data_centre: "y".into(), remote_bytes: 360_000 };
    let preferring_y = |soft_deadline_ms| StageWork {
        result_bytes: 6_000,
        preferred_data_centre: Some(preferred.clone()),
        ..work(SERVICE.batch, soft_deadline_ms, 9_000)
    };
    batcher.submit(preferring_y(3_000));
    let next = batcher.submit(preferring_y(3_100));
    let last = batcher.submit(preferring_y(3_200));
    assert_eq!(batcher.next_call(&upstreams, 0).unwrap().upstream, local);
    let elsewhere = batcher.next_call(&upstreams, 200).unwrap();
    assert_eq!((elsewhere.upstream, elsewhere.pieces[0].0), (remote, last));
    assert_eq!(
        batcher.work(next).map(|it| it.soft_deadline_ms),
        Some(3_100),
        "it waits for its preferred data centre"
    );
}

#[test]
fn the_preferred_data_centre_is_the_one_with_the_most_bytes() {
    let shares = [("x", 60_000), ("y", 100_000), ("x", 60_000)];
    let preferred =
        PreferredDataCentre::choose(shares.map(|(data_centre, bytes)| (data_centre.into(), bytes)));
    assert_eq!(
        preferred,
        Some(PreferredDataCentre { data_centre: "x".into(), remote_bytes: 120_000 })
    );
    assert_eq!(PreferredDataCentre::choose([]), None);
}

fn work_reading(pieces: usize, inputs: &[&str]) -> StageWork {
    let inputs = inputs.iter().map(|it| (*it).to_owned()).collect();
    StageWork { source: PieceSource::Inputs(inputs), ..work(pieces, 1_000, 5_000) }
}

#[test]
fn inputs_are_released_once_all_pieces_that_read_them_are_running() {
    let upstreams = upstreams(2);
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(work_reading(12, &["a", "b"]));
    let first = batcher.next_call(&upstreams, 0).unwrap();
    assert!(batcher.release_inputs(first.call, |_| true).is_empty(), "two pieces wait");
    let second = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(batcher.release_inputs(second.call, |_| true), ["a", "b"]);
    assert!(batcher.release_inputs(first.call, |_| true).is_empty(), "inputs are released once");
    batcher.finish(first.call, answer(&first), 300);
    let settled = batcher.finish(second.call, answer(&second), 300);
    assert_eq!((settled.ended[0].0, settled.ended[0].1), (group, GroupOutcome::Completed));
}

#[test]
fn a_call_that_fails_after_its_inputs_were_released_ends_its_stages() {
    let upstreams = upstreams(1);
    for result in [CallResult::Failed, CallResult::Full] {
        let mut batcher = Batcher::new(SERVICE);
        batcher.submit(work_reading(2, &["a"]));
        let planned = batcher.next_call(&upstreams, 0).unwrap();
        assert_eq!(batcher.release_inputs(planned.call, |_| true), ["a"]);
        batcher.requeue_overdue(5_000);
        assert_eq!(batcher.waiting(), 0, "it cannot run elsewhere");
        let settled = batcher.finish(planned.call, result, 5_000);
        assert_eq!(settled.ended.len(), 1);
        assert_eq!(settled.ended[0].1, GroupOutcome::InputGone);
    }
}

#[test]
fn inputs_are_kept_if_another_stage_reads_them_or_memory_is_not_needed() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(StageWork { is_only_reader: false, ..work_reading(1, &["a"]) });
    batcher.submit(work_reading(1, &["b"]));
    let planned = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(planned.pieces.len(), 2);
    assert!(batcher.release_inputs(planned.call, |it| it == "c").is_empty());
    assert_eq!(batcher.release_inputs(planned.call, |it| it != "c"), ["b"]);
}

#[test]
fn work_sent_to_another_entry_keeps_its_remaining_times() {
    let sent = work(2, 1_500, 5_000).with_relative_times(1_000);
    assert_eq!((sent.soft_deadline_ms, sent.deadline_ms), (500, 4_000));
    assert_eq!(
        work(2, 1_500, 5_000).with_relative_times(2_000).soft_deadline_ms,
        0,
        "it is late already"
    );
    let received = sent.with_absolute_times(70_000);
    assert_eq!((received.soft_deadline_ms, received.deadline_ms), (70_500, 74_000));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_602),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever calls fail, each group ends once, with one result for each piece or a failure.
    #[test]
    fn every_group_ends_exactly_once(
        sizes in prop::collection::vec(1_usize..6, 1..12),
        outcomes in prop::collection::vec(0_u8..6, 200),
    ) {
        let upstreams = upstreams(3);
        let mut batcher = Batcher::new(SERVICE);
        let mut pending = std::collections::HashMap::new();
        for (index, size) in sizes.iter().enumerate() {
            let work = work(*size, 500 + index as u64, 60_000);
            pending.insert(batcher.submit(work), *size);
        }
        let mut now_ms = 0;
        let mut calls: Vec<PlannedCall> = Vec::new();
        let mut outcomes = outcomes.into_iter().cycle();
        while now_ms < 70_000 {
            now_ms += 40;
            batcher.requeue_overdue(now_ms);
            let mut settled = vec![batcher.expire(upstreams.len(), now_ms)];
            while let Some(planned) = batcher.next_call(&upstreams, now_ms) {
                prop_assert!(planned.pieces.len() <= SERVICE.batch);
                prop_assert!(calls.iter().all(|it| it.upstream != planned.upstream));
                calls.push(planned);
            }
            if !calls.is_empty() {
                let planned = calls.remove(0);
                let result = match outcomes.next() {
                    Some(0) => CallResult::Failed,
                    Some(1) => CallResult::Full,
                    Some(2) => CallResult::Answered(vec![PieceResult::NoRoom; planned.pieces.len()]),
                    _ => answer(&planned),
                };
                settled.push(batcher.finish(planned.call, result, now_ms));
            }
            for (group, end, handles) in settled.into_iter().flat_map(|it| it.ended) {
                let size = pending.remove(&group);
                prop_assert!(size.is_some());
                if end == GroupOutcome::Completed {
                    prop_assert_eq!(Some(handles.len()), size);
                }
            }
        }
        prop_assert!(pending.is_empty());
    }
}

#[test]
fn work_too_far_back_in_the_queue_to_meet_its_deadline_is_shed_at_once() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(SERVICE);
    let late: Vec<_> = (0..5).map(|it| batcher.submit(work(10, 100, 1_000 + it))).collect();
    let running = batcher.next_call(&upstreams, 0).unwrap();
    assert_eq!(running.pieces[0].0, late[0]);
    // A round of calls takes 370 ms, of which 296 ms are counted.
    let ended: Vec<_> = batcher.expire(1, 0).ended.into_iter().map(|it| (it.0, it.1)).collect();
    assert_eq!(ended, [(late[4], GroupOutcome::Late)]);
    assert_eq!(batcher.expire(2, 0).ended, [], "two upstreams get to all of it in time");
    // Work that a call has started stays.
    assert!(batcher.work(late[0]).is_some());
}

#[test]
fn a_long_queue_without_memory_is_not_ordered_for_every_plan() {
    let upstreams = upstreams(46);
    let mut batcher = Batcher::new(SERVICE);
    for _ in 0..2_000 {
        batcher.submit(StageWork { result_bytes: 2_000_000, ..work(2, 5_000, 9_000) });
    }
    let mut calls = Vec::new();
    while let Some(planned) = batcher.next_call(&upstreams, 0) {
        calls.push(planned);
    }
    for planned in calls {
        batcher.finish(planned.call, answer(&planned), 370);
    }
    batcher.take_activity();
    // All upstreams are free, and the results of their first calls fill their memory.
    for now_ms in 370..1_370 {
        assert_eq!(batcher.next_call(&upstreams, now_ms), None);
    }
    assert_eq!(batcher.take_activity().ordered_plans, 0);
}

#[test]
fn memory_of_a_result_is_free_once_it_is_released_or_expires_and_counts_once() {
    let upstreams = upstreams(1);
    let mut batcher = Batcher::new(StageService { result_capacity_bytes: 5_000_000, ..SERVICE });
    batcher.submit(work(3, 5_000, 20_000));
    let planned = batcher.next_call(&upstreams, 0).unwrap();
    let CallResult::Answered(results) = answer(&planned) else { unreachable!() };
    batcher.finish(planned.call, CallResult::Answered(results.clone()), 250);
    let PieceResult::Completed(handle) = &results[0] else { unreachable!() };
    batcher.release(handle);
    batcher.release(handle);
    batcher.submit(work(3, 5_000, 20_000));
    let expired_ms = 250 + SERVICE.result_ttl_ms;
    assert_eq!(batcher.next_call(&upstreams, expired_ms - 1), None, "only one of three fits");
    assert_eq!(batcher.next_call(&upstreams, expired_ms).unwrap().pieces.len(), 3);
}
