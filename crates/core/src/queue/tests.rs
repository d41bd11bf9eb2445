use super::*;
use crate::ids::{Incarnation, RequestId, StageIndex};

fn entry(customer: CustomerKey, request: u128, deadline_ms: u64) -> QueueEntry {
    QueueEntry {
        attempt: AttemptId {
            request: RequestId(request),
            stage: StageIndex(0),
            number: 0,
            entry: Incarnation(1),
        },
        customer,
        deadline_ms,
        dispatch_by_ms: deadline_ms,
        estimate_ms: 10,
        exclusive: false,
    }
}

fn request(next: Option<Popped>) -> Option<u128> {
    next.map(|it| it.entry.attempt.request.0)
}

#[test]
fn entries_of_one_customer_are_popped_by_earliest_deadline() {
    let mut queue = Queue::new(8);
    let customer = queue.register_customer("a", 1);
    for (number, deadline_ms) in [(1, 300), (2, 100), (3, 200)] {
        queue.push(0, entry(customer, number, deadline_ms)).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| request(queue.pop(0))).collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn customer_with_few_entries_is_not_starved_by_earlier_deadlines_of_a_backlogged_one() {
    let mut queue = Queue::new(200);
    let large = queue.register_customer("large", 1);
    let small = queue.register_customer("small", 1);
    for number in 0..100 {
        let entry = QueueEntry { estimate_ms: 1_000, ..entry(large, number, 1_000_000) };
        queue.push(0, entry).unwrap();
    }
    for number in 100..110 {
        let entry = QueueEntry { estimate_ms: 1_000, ..entry(small, number, 2_000_000) };
        queue.push(0, entry).unwrap();
    }

    let mut popped_of_small = 0;
    for _ in 0..60 {
        let next = queue.pop(0).unwrap();
        if next.entry.customer == small {
            popped_of_small += 1;
        }
    }
    assert_eq!(popped_of_small, 10);
}

#[test]
fn exclusive_entry_waits_for_running_ones_and_blocks_later_ones() {
    let mut queue = Queue::new(8);
    let customer = queue.register_customer("a", 1);
    queue.push(0, entry(customer, 1, 100)).unwrap();
    queue.push(0, QueueEntry { exclusive: true, ..entry(customer, 2, 200) }).unwrap();
    queue.push(0, entry(customer, 3, 300)).unwrap();

    let first = queue.pop(0).unwrap();
    assert_eq!(queue.pop(0), None);
    queue.finish(first.key);
    let second = queue.pop(0).unwrap();
    assert_eq!(request(Some(second)), Some(2));
    assert_eq!(queue.pop(0), None);
    queue.finish(second.key);
    assert_eq!(request(queue.pop(0)), Some(3));
}

#[test]
fn expired_entries_are_rejected_by_push_skipped_by_pop_and_removed_by_expire() {
    let mut queue = Queue::new(8);
    let customer = queue.register_customer("a", 1);
    assert_eq!(queue.push(95, entry(customer, 1, 100)), Err(Reason::DeadlineUnreachable));

    let expiring = queue.push(50, entry(customer, 2, 100)).unwrap().key;
    assert_eq!(queue.next_expiry_ms(), Some(91));
    assert!(queue.expire(90).is_empty());
    assert_eq!(queue.pop(91), None);
    let dropped = queue.expire(91);
    assert_eq!(dropped[0].key, expiring);
    assert_eq!(dropped[0].reason, Reason::DeadlineUnreachable);
    assert_eq!(queue.queued(), 0);
}

#[test]
fn full_queue_evicts_the_latest_entry_for_a_customer_below_its_quota() {
    let mut queue = Queue::new(4);
    let large = queue.register_customer("large", 1);
    let small = queue.register_customer("small", 1);
    for number in 0..4 {
        queue.push(0, entry(large, number, 100 + number as u64)).unwrap();
    }
    assert_eq!(queue.push(0, entry(large, 4, 50)), Err(Reason::CustomerShare));

    let pushed = queue.push(0, entry(small, 5, 500)).unwrap();
    let evicted = pushed.evicted.unwrap();
    assert_eq!(evicted.entry.attempt.request.0, 3);
    assert_eq!(evicted.reason, Reason::CustomerShare);
    queue.push(0, entry(small, 6, 500)).unwrap();
    assert_eq!(queue.push(0, entry(small, 7, 500)), Err(Reason::CustomerShare));
}

#[test]
fn drain_returns_waiting_entries_and_keeps_running_ones() {
    let mut queue = Queue::new(8);
    let customer = queue.register_customer("a", 1);
    for number in 1..4 {
        queue.push(0, entry(customer, number, 1_000)).unwrap();
    }
    let running = queue.pop(0).unwrap();
    assert_eq!(queue.drain(Reason::Leaving).len(), 2);
    assert_eq!(queue.running(), 1);
    assert!(queue.finish(running.key).is_some());
    assert!(queue.finish(running.key).is_none());
}
