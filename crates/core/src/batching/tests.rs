use proptest::{prelude::*, test_runner::RngSeed};
use slotmap::SlotMap;

use crate::{
    batching::{
        Batcher, CallOrder, CallResult, EngineView, GroupEnd, Home, PieceResult, PieceSource,
        StageWork,
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

fn engines(number: usize) -> Vec<EngineView> {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    (0..number).map(|_| EngineView { key: keys.insert(()), data_centre: "x".into() }).collect()
}

fn work(pieces: usize, aim_ms: u64, deadline_ms: u64) -> StageWork {
    StageWork {
        request_id: format!("r{aim_ms}"),
        stage: 0,
        pieces,
        source: PieceSource::Key("k".to_owned()),
        is_only_reader: true,
        result_bytes: 1_500_000,
        priority: 0,
        aim_ms,
        deadline_ms,
        home: None,
    }
}

fn answer(order: &CallOrder) -> CallResult {
    let made = |it: usize| PieceResult::Made(format!("{:?}/{it}", order.call));
    CallResult::Answered((0..order.pieces.len()).map(made).collect())
}

#[test]
fn pieces_that_wait_for_a_busy_upstream_go_out_together() {
    let engines = engines(1);
    let mut batcher = Batcher::new(SERVICE);
    let first = batcher.submit(work(1, 1_000, 5_000));
    let order = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(order.pieces, [(first, 0)]);
    let second = batcher.submit(work(2, 1_100, 5_000));
    let third = batcher.submit(work(1, 1_200, 5_000));
    assert_eq!(batcher.next_call(&engines, 50), None);
    let settled = batcher.finish(order.call, answer(&order), 217);
    assert_eq!(settled.ended[0].0, first);
    assert_eq!(settled.ended[0].1, GroupEnd::Made);
    let order = batcher.next_call(&engines, 217).unwrap();
    assert_eq!(order.pieces, [(second, 0), (second, 1), (third, 0)]);
}

#[test]
fn work_that_can_be_on_time_goes_before_work_that_is_late() {
    let engines = engines(1);
    let mut batcher = Batcher::new(StageService { batch: 1, ..SERVICE });
    let late = batcher.submit(work(1, 100, 5_000));
    let on_time = batcher.submit(work(1, 3_000, 6_000));
    let order = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(order.pieces, [(on_time, 0)]);
    batcher.finish(order.call, answer(&order), 217);
    assert_eq!(batcher.next_call(&engines, 217).unwrap().pieces, [(late, 0)]);
}

#[test]
fn a_call_holds_no_more_results_than_the_upstream_has_room_for() {
    let engines = engines(1);
    let mut batcher = Batcher::new(StageService { result_capacity_bytes: 5_000_000, ..SERVICE });
    batcher.submit(work(5, 5_000, 9_000));
    let order = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(order.pieces.len(), 3);
    let CallResult::Answered(results) = answer(&order) else { unreachable!() };
    batcher.finish(order.call, CallResult::Answered(results.clone()), 250);
    assert_eq!(batcher.next_call(&engines, 250), None);
    let PieceResult::Made(handle) = &results[0] else { unreachable!() };
    batcher.release(handle);
    assert_eq!(batcher.next_call(&engines, 250).unwrap().pieces.len(), 1);
}

#[test]
fn work_begins_only_where_all_its_results_fit() {
    let engines = engines(2);
    let mut batcher =
        Batcher::new(StageService { result_capacity_bytes: 6_000_000, batch: 3, ..SERVICE });
    // Each upstream has room for four results; two stages of five would leave both unfinished.
    let first = batcher.submit(work(5, 1_000, 9_000));
    let second = batcher.submit(work(5, 2_000, 9_000));
    let mut calls = Vec::new();
    while let Some(order) = batcher.next_call(&engines, 0) {
        calls.push(order);
    }
    let pieces: Vec<_> = calls.iter().flat_map(|it| it.pieces.clone()).collect();
    assert_eq!(pieces, (0..5).map(|it| (first, it)).collect::<Vec<_>>());
    let mut handles = Vec::new();
    for order in calls {
        let settled = batcher.finish(order.call, answer(&order), 300);
        handles.extend(settled.ended.into_iter().flat_map(|it| it.2));
    }
    assert_eq!(batcher.next_call(&engines, 300), None);
    for handle in handles {
        batcher.release(&handle);
    }
    assert!(batcher.next_call(&engines, 300).is_some_and(|it| it.pieces[0].0 == second));
}

#[test]
fn work_that_cannot_meet_its_deadline_is_given_back_at_once() {
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(work(1, 100, 1_000));
    assert_eq!(batcher.expire(1, 783).ended, []);
    assert_eq!(batcher.expire(1, 784).ended, [(group, GroupEnd::Late, Vec::new())]);
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn pieces_of_a_failed_call_are_made_by_another_upstream() {
    let engines = engines(2);
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(work(2, 1_000, 5_000));
    let first = batcher.next_call(&engines, 0).unwrap();
    batcher.finish(first.call, CallResult::Failed, 10);
    let second = batcher.next_call(&engines, 10).unwrap();
    assert_ne!(second.engine, first.engine);
    let settled = batcher.finish(second.call, answer(&second), 250);
    assert_eq!(settled.ended.len(), 1);
    assert_eq!(settled.ended[0].0, group);
}

#[test]
fn pieces_of_an_overdue_call_are_made_twice_and_delivered_once() {
    let engines = engines(2);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(work(1, 1_000, 5_000));
    let first = batcher.next_call(&engines, 0).unwrap();
    batcher.requeue_overdue(500);
    assert_eq!(batcher.waiting(), 0);
    batcher.requeue_overdue(600);
    let second = batcher.next_call(&engines, 600).unwrap();
    assert_ne!(second.engine, first.engine);
    assert_eq!(batcher.finish(second.call, answer(&second), 820).ended.len(), 1);
    let settled = batcher.finish(first.call, answer(&first), 900);
    assert_eq!(settled.ended, []);
    assert_eq!(settled.unused.len(), 1);
}

#[test]
fn a_slow_upstream_gets_nothing_while_a_fast_one_finishes_earlier() {
    let engines = engines(2);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(work(1, 9_000, 20_000));
    let slow = batcher.next_call(&engines, 0).unwrap();
    batcher.finish(slow.call, answer(&slow), 1_100);
    batcher.submit(work(1, 9_000, 20_000));
    let fast = batcher.next_call(&engines, 1_100).unwrap();
    assert_ne!(fast.engine, slow.engine);
    batcher.submit(work(1, 9_000, 20_000));
    assert_eq!(batcher.next_call(&engines, 1_110), None);
    batcher.finish(fast.call, answer(&fast), 1_317);
    assert_eq!(batcher.next_call(&engines, 1_317).unwrap().engine, fast.engine);
}

#[test]
fn a_large_result_is_made_near_its_reader_while_there_is_time() {
    let mut engines = engines(2);
    engines[1].data_centre = "y".into();
    let near = engines[1].key;
    let mut batcher = Batcher::new(SERVICE);
    let home = Home { data_centre: "y".into(), remote_bytes: 1_500_000 };
    let read_in_y = |aim_ms| StageWork { home: Some(home.clone()), ..work(1, aim_ms, 9_000) };
    batcher.submit(read_in_y(3_000));
    let first = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(first.engine, near);
    // The upstream near the reader is free again in time, so the other one stays idle.
    batcher.submit(read_in_y(3_000));
    assert_eq!(batcher.next_call(&engines, 10), None);
    // Without time to wait, distance does not count.
    batcher.submit(read_in_y(500));
    assert!(batcher.next_call(&engines, 10).is_some_and(|it| it.engine != near));
}

#[test]
fn a_call_takes_the_pieces_that_belong_near_it_first() {
    let mut engines = engines(2);
    engines[1].data_centre = "y".into();
    let (far, near) = (engines[0].key, engines[1].key);
    let mut batcher = Batcher::new(SERVICE);
    let home = Home { data_centre: "y".into(), remote_bytes: 360_000 };
    let small = |pieces, aim_ms| StageWork { result_bytes: 6_000, ..work(pieces, aim_ms, 9_000) };
    let of_y = batcher.submit(StageWork { home: Some(home.clone()), ..small(8, 3_000) });
    let of_anywhere = batcher.submit(small(4, 3_100));
    let first = batcher.next_call(&engines, 0).unwrap();
    assert_eq!((first.engine, first.pieces.len()), (near, 8), "a stage is not split without need");
    assert!(first.pieces.iter().all(|it| it.0 == of_y));
    let second = batcher.next_call(&engines, 0).unwrap();
    assert_eq!((second.engine, second.pieces.len()), (far, 4));
    assert!(second.pieces.iter().all(|it| it.0 == of_anywhere));
}

#[test]
fn pieces_beyond_the_next_call_of_their_home_are_made_elsewhere() {
    let mut engines = engines(2);
    engines[1].data_centre = "y".into();
    let (far, near) = (engines[0].key, engines[1].key);
    let mut batcher = Batcher::new(SERVICE);
    let home = Home { data_centre: "y".into(), remote_bytes: 360_000 };
    let of_y = |aim_ms| StageWork {
        result_bytes: 6_000,
        home: Some(home.clone()),
        ..work(SERVICE.batch, aim_ms, 9_000)
    };
    batcher.submit(of_y(3_000));
    let next = batcher.submit(of_y(3_100));
    let last = batcher.submit(of_y(3_200));
    assert_eq!(batcher.next_call(&engines, 0).unwrap().engine, near);
    let elsewhere = batcher.next_call(&engines, 200).unwrap();
    assert_eq!((elsewhere.engine, elsewhere.pieces[0].0), (far, last));
    assert_eq!(batcher.work(next).map(|it| it.aim_ms), Some(3_100), "it waits for its home");
}

#[test]
fn a_home_is_where_most_bytes_of_a_piece_are() {
    let shares = [("x", 60_000), ("y", 100_000), ("x", 60_000)];
    let home = Home::choose(shares.map(|(place, bytes)| (place.into(), bytes)));
    assert_eq!(home, Some(Home { data_centre: "x".into(), remote_bytes: 120_000 }));
    assert_eq!(Home::choose([]), None);
}

fn reading(pieces: usize, inputs: &[&str]) -> StageWork {
    let inputs = inputs.iter().map(|it| (*it).to_owned()).collect();
    StageWork { source: PieceSource::Inputs(inputs), ..work(pieces, 1_000, 5_000) }
}

#[test]
fn inputs_are_let_go_once_all_pieces_that_read_them_run() {
    let engines = engines(2);
    let mut batcher = Batcher::new(SERVICE);
    let group = batcher.submit(reading(12, &["a", "b"]));
    let first = batcher.next_call(&engines, 0).unwrap();
    assert!(batcher.let_inputs_go(first.call, |_| true).is_empty(), "two pieces wait");
    let second = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(batcher.let_inputs_go(second.call, |_| true), ["a", "b"]);
    assert!(batcher.let_inputs_go(first.call, |_| true).is_empty(), "only once");
    batcher.finish(first.call, answer(&first), 300);
    let settled = batcher.finish(second.call, answer(&second), 300);
    assert_eq!((settled.ended[0].0, settled.ended[0].1), (group, GroupEnd::Made));
}

#[test]
fn a_call_that_fails_after_its_inputs_were_let_go_ends_its_stages() {
    let engines = engines(1);
    for result in [CallResult::Failed, CallResult::Full] {
        let mut batcher = Batcher::new(SERVICE);
        batcher.submit(reading(2, &["a"]));
        let order = batcher.next_call(&engines, 0).unwrap();
        assert_eq!(batcher.let_inputs_go(order.call, |_| true), ["a"]);
        batcher.requeue_overdue(5_000);
        assert_eq!(batcher.waiting(), 0, "it cannot be made elsewhere");
        let settled = batcher.finish(order.call, result, 5_000);
        assert_eq!(settled.ended.len(), 1);
        assert_eq!(settled.ended[0].1, GroupEnd::InputGone);
    }
}

#[test]
fn inputs_stay_where_another_stage_reads_them_or_their_maker_has_room() {
    let engines = engines(1);
    let mut batcher = Batcher::new(SERVICE);
    batcher.submit(StageWork { is_only_reader: false, ..reading(1, &["a"]) });
    batcher.submit(reading(1, &["b"]));
    let order = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(order.pieces.len(), 2);
    assert!(batcher.let_inputs_go(order.call, |it| it == "c").is_empty());
    assert_eq!(batcher.let_inputs_go(order.call, |it| it != "c"), ["b"]);
}

#[test]
fn work_that_goes_to_another_entry_keeps_its_remaining_times() {
    let sent = work(2, 1_500, 5_000).without_clock(1_000);
    assert_eq!((sent.aim_ms, sent.deadline_ms), (500, 4_000));
    assert_eq!(work(2, 1_500, 5_000).without_clock(2_000).aim_ms, 0, "it is late already");
    let taken = sent.on_clock(70_000);
    assert_eq!((taken.aim_ms, taken.deadline_ms), (70_500, 74_000));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_602),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever fails, each group ends once, with one result for each piece or a reason.
    #[test]
    fn every_group_ends_exactly_once(
        sizes in prop::collection::vec(1_usize..6, 1..12),
        outcomes in prop::collection::vec(0_u8..6, 200),
    ) {
        let engines = engines(3);
        let mut batcher = Batcher::new(SERVICE);
        let mut open = std::collections::HashMap::new();
        for (index, size) in sizes.iter().enumerate() {
            let work = work(*size, 500 + index as u64, 60_000);
            open.insert(batcher.submit(work), *size);
        }
        let mut now_ms = 0;
        let mut calls: Vec<CallOrder> = Vec::new();
        let mut outcomes = outcomes.into_iter().cycle();
        while now_ms < 70_000 {
            now_ms += 40;
            batcher.requeue_overdue(now_ms);
            let mut settled = vec![batcher.expire(engines.len(), now_ms)];
            while let Some(order) = batcher.next_call(&engines, now_ms) {
                prop_assert!(order.pieces.len() <= SERVICE.batch);
                prop_assert!(calls.iter().all(|it| it.engine != order.engine));
                calls.push(order);
            }
            if !calls.is_empty() {
                let order = calls.remove(0);
                let result = match outcomes.next() {
                    Some(0) => CallResult::Failed,
                    Some(1) => CallResult::Full,
                    Some(2) => CallResult::Answered(vec![PieceResult::NoRoom; order.pieces.len()]),
                    _ => answer(&order),
                };
                settled.push(batcher.finish(order.call, result, now_ms));
            }
            for (group, end, handles) in settled.into_iter().flat_map(|it| it.ended) {
                let size = open.remove(&group);
                prop_assert!(size.is_some());
                if end == GroupEnd::Made {
                    prop_assert_eq!(Some(handles.len()), size);
                }
            }
        }
        prop_assert!(open.is_empty());
    }
}

#[test]
fn work_that_is_too_far_back_is_given_up_at_once() {
    let engines = engines(1);
    let mut batcher = Batcher::new(SERVICE);
    let late: Vec<_> = (0..5).map(|it| batcher.submit(work(10, 100, 1_000 + it))).collect();
    let running = batcher.next_call(&engines, 0).unwrap();
    assert_eq!(running.pieces[0].0, late[0]);
    // A round takes 370 ms, of which 296 are certain.
    let ended: Vec<_> = batcher.expire(1, 0).ended.into_iter().map(|it| (it.0, it.1)).collect();
    assert_eq!(ended, [(late[4], GroupEnd::Late)]);
    assert_eq!(batcher.expire(2, 0).ended, [], "two upstreams reach all of it");
    // What a call has begun stays.
    assert!(batcher.work(late[0]).is_some());
}
