//! Property tests of the queue against an oracle that checks only its documented guarantees.

use std::cell::Cell;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use yuccatrail_core::{
    FastMap,
    ids::{AttemptId, Incarnation, RequestId, StageIndex},
    outcome::Reason,
    queue::{CustomerKey, EntryKey, Queue, QueueEntry},
};

const SEED: u64 = 7_002;
const MAX_QUEUED: u32 = 12;
const SHARES: [u32; 4] = [1, 1, 2, 4];

/// Work by which a backlogged customer may be ahead of another, in milliseconds.
const MAX_LEAD_MS: f64 = 8_000.0;

/// Longest estimate in the test of shares, in milliseconds.
const MAX_ESTIMATE_MS: u64 = 4_000;

#[derive(Clone, Debug)]
struct PushSpec {
    customer: usize,
    estimate_ms: u64,
    slack_ms: u64,
    dispatch_ms: u64,
    exclusive: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Push(PushSpec),
    Pop,
    Finish(usize),
    Remove(usize),
    Expire,
    Drain,
}

fn push_spec() -> impl Strategy<Value = PushSpec> {
    let exclusive = prop::bool::weighted(0.1);
    (0..SHARES.len(), 1..100_u64, 0..400_u64, 0..500_u64, exclusive).prop_map(
        |(customer, estimate_ms, slack_ms, dispatch_ms, exclusive)| PushSpec {
            customer,
            estimate_ms,
            slack_ms,
            dispatch_ms,
            exclusive,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..60_u64).prop_map(Event::Advance),
        20 => push_spec().prop_map(Event::Push),
        8 => Just(Event::Pop),
        6 => (0..16_usize).prop_map(Event::Finish),
        1 => (0..16_usize).prop_map(Event::Remove),
        2 => Just(Event::Expire),
        1 => Just(Event::Drain),
    ]
}

struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        event().boxed()
    }

    fn apply((): (), _: &Event) {}
}

fn is_expired(entry: &QueueEntry, now_ms: u64) -> bool {
    now_ms + entry.estimate_ms > entry.deadline_ms || now_ms > entry.dispatch_by_ms
}

/// Waiting and running entries, as recorded by the caller of the queue.
#[derive(Default)]
struct Oracle {
    waiting: FastMap<EntryKey, QueueEntry>,
    running: FastMap<EntryKey, QueueEntry>,
}

impl Oracle {
    fn waiting_of(&self, customer: CustomerKey) -> u64 {
        self.waiting.values().filter(|it| it.customer == customer).count() as u64
    }

    /// Returns the quota of `customer` when `newcomer` and all customers with waiting entries
    /// compete.
    fn quota(&self, sut: &Sut, customer: CustomerKey, newcomer: CustomerKey) -> u64 {
        let mut active = 0;
        for (key, share) in sut.customers.iter().zip(SHARES) {
            if *key == newcomer || self.waiting_of(*key) > 0 {
                active += u64::from(share);
            }
        }
        let position = sut.customers.iter().position(|it| *it == customer).unwrap();
        u64::from(MAX_QUEUED) * u64::from(SHARES[position]) / active
    }

    fn check_pop(&self, now_ms: u64, entry: &QueueEntry) {
        assert!(!is_expired(entry, now_ms), "started after expiry");
        assert!(
            !self.running.values().any(|it| it.exclusive),
            "started while an exclusive entry was running"
        );
        if entry.exclusive {
            assert!(self.running.is_empty(), "exclusive entry started while others were running");
            return;
        }
        for other in self.waiting.values().filter(|it| it.customer == entry.customer) {
            let is_earlier = other.deadline_ms < entry.deadline_ms;
            assert!(
                !is_earlier || is_expired(other, now_ms),
                "started before an entry of the same customer with an earlier deadline"
            );
        }
    }

    fn check_nothing_popped(&self, now_ms: u64) {
        if self.running.values().any(|it| it.exclusive) {
            return;
        }
        let mut startable = self.waiting.values().filter(|it| !is_expired(it, now_ms));
        let waits_for_idle = startable.clone().any(|it| it.exclusive) && !self.running.is_empty();
        assert!(
            waits_for_idle || startable.next().is_none(),
            "nothing was popped although an entry could start"
        );
    }
}

#[cfg(feature = "sabotage")]
use yuccatrail_core::queue::Sabotage;
#[cfg(not(feature = "sabotage"))]
#[derive(Clone, Copy, Default)]
enum Sabotage {
    #[default]
    None,
}

thread_local! {
    static SABOTAGE: Cell<Sabotage> = Cell::default();
}

struct Sut {
    queue: Queue,
    customers: Vec<CustomerKey>,
    now_ms: u64,
    pushes: u128,
}

impl Sut {
    fn new(max_queued: u32) -> Self {
        let mut queue = Queue::new(max_queued);
        #[cfg(feature = "sabotage")]
        queue.sabotage(SABOTAGE.get());
        let mut customers = Vec::new();
        for (number, share) in SHARES.iter().enumerate() {
            customers.push(queue.register_customer(&number.to_string(), *share));
        }
        Self { queue, customers, now_ms: 0, pushes: 0 }
    }

    fn entry(&mut self, spec: &PushSpec) -> QueueEntry {
        self.pushes += 1;
        let attempt = AttemptId {
            request: RequestId(self.pushes),
            stage: StageIndex(0),
            number: 0,
            entry: Incarnation(1),
        };
        QueueEntry {
            attempt,
            customer: self.customers[spec.customer],
            deadline_ms: self.now_ms + spec.slack_ms,
            dispatch_by_ms: self.now_ms + spec.dispatch_ms,
            estimate_ms: spec.estimate_ms,
            exclusive: spec.exclusive,
        }
    }

    fn push(&mut self, oracle: &mut Oracle, spec: &PushSpec) {
        let entry = self.entry(spec);
        let waiting = oracle.waiting.len() as u64;
        let waiting_of_customer = oracle.waiting_of(entry.customer);
        let quota = oracle.quota(self, entry.customer, entry.customer);
        let pushed = match self.queue.push(self.now_ms, entry) {
            Ok(pushed) => pushed,
            Err(Reason::DeadlineUnreachable | Reason::DispatchExpired) => {
                assert!(is_expired(&entry, self.now_ms), "rejected as expired before expiry");
                return;
            }
            Err(reason) => {
                assert!(matches!(reason, Reason::Busy | Reason::CustomerShare));
                assert!(waiting >= u64::from(MAX_QUEUED), "rejected by a queue that is not full");
                assert!(
                    waiting_of_customer >= quota,
                    "rejected an entry of a customer below its quota"
                );
                return;
            }
        };

        assert!(!is_expired(&entry, self.now_ms), "accepted after expiry");
        if let Some(evicted) = pushed.evicted {
            let evicted_quota = oracle.quota(self, evicted.entry.customer, entry.customer);
            assert!(
                oracle.waiting_of(evicted.entry.customer) > evicted_quota,
                "evicted an entry of a customer within its quota"
            );
            let removed = oracle.waiting.remove(&evicted.key);
            assert_eq!(removed, Some(evicted.entry));
        }
        assert_eq!(oracle.waiting.insert(pushed.key, entry), None);
    }

    fn pop(&mut self, oracle: &mut Oracle) {
        let Some(next) = self.queue.pop(self.now_ms) else {
            oracle.check_nothing_popped(self.now_ms);
            return;
        };
        assert_eq!(
            oracle.waiting.remove(&next.key),
            Some(next.entry),
            "popped an entry that was not waiting"
        );
        oracle.check_pop(self.now_ms, &next.entry);
        oracle.running.insert(next.key, next.entry);
    }

    fn expire(&mut self, oracle: &mut Oracle) {
        for dropped in self.queue.expire(self.now_ms) {
            let removed =
                oracle.waiting.remove(&dropped.key).expect("removed an entry that was not waiting");
            assert!(is_expired(&removed, self.now_ms), "removed before expiry");
        }
        assert!(
            !oracle.waiting.values().any(|it| is_expired(it, self.now_ms)),
            "kept an expired entry"
        );
    }

    fn apply_event(&mut self, oracle: &mut Oracle, event: &Event) {
        match event {
            Event::Advance(ms) => self.now_ms += ms,
            Event::Push(spec) => self.push(oracle, spec),
            Event::Pop => self.pop(oracle),
            Event::Finish(index) => {
                let Some(key) = nth_key(&oracle.running, *index) else { return };
                assert_eq!(self.queue.finish(key), oracle.running.remove(&key));
                assert_eq!(self.queue.finish(key), None);
            }
            Event::Remove(index) => {
                let Some(key) = nth_key(&oracle.waiting, *index) else { return };
                assert_eq!(self.queue.remove(key), oracle.waiting.remove(&key));
                assert_eq!(self.queue.remove(key), None);
            }
            Event::Expire => self.expire(oracle),
            Event::Drain => {
                let drained = self.queue.drain(Reason::Leaving);
                assert_eq!(drained.len(), oracle.waiting.len());
                for dropped in drained {
                    assert!(oracle.waiting.remove(&dropped.key).is_some());
                }
            }
        }
        assert!(self.queue.queued() <= MAX_QUEUED, "more waiting entries than the limit");
        assert_eq!(self.queue.queued() as usize, oracle.waiting.len());
        assert_eq!(self.queue.running() as usize, oracle.running.len());
    }
}

fn nth_key(entries: &FastMap<EntryKey, QueueEntry>, index: usize) -> Option<EntryKey> {
    let mut keys: Vec<EntryKey> = entries.keys().copied().collect();
    keys.sort_unstable();
    keys.get(index % keys.len().max(1)).copied()
}

struct QueueTest {
    sut: Sut,
    oracle: Oracle,
}

impl StateMachineTest for QueueTest {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        Self { sut: Sut::new(MAX_QUEUED), oracle: Oracle::default() }
    }

    fn apply(mut test: Self, (): &(), event: Event) -> Self {
        test.sut.apply_event(&mut test.oracle, &event);
        test
    }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn run(sabotage: Sabotage) -> Result<(), String> {
    SABOTAGE.set(sabotage);
    let strategy = Events::sequential_strategy(1..200);
    let result = TestRunner::new(config()).run(&strategy, |(state, events, seen)| {
        QueueTest::test_sequential(config(), state, events, seen);
        Ok(())
    });
    result.map_err(|it| it.to_string())
}

/// Keeps all customers backlogged and compares the work per share that was started for each.
fn run_fairness(sabotage: Sabotage) -> Result<(), String> {
    SABOTAGE.set(sabotage);
    let strategy = prop::collection::vec((push_spec(), 1..1_000_u64), 200..400);
    let result = TestRunner::new(config()).run(&strategy, |specs| {
        let mut sut = Sut::new(10_000);
        let mut remaining = [0; SHARES.len()];
        for (spec, extra_ms) in &specs {
            let spec = PushSpec {
                slack_ms: 1_000_000 + spec.slack_ms + extra_ms * spec.customer as u64,
                dispatch_ms: 10_000_000,
                estimate_ms: MAX_ESTIMATE_MS / 100 * spec.estimate_ms,
                exclusive: false,
                ..spec.clone()
            };
            let entry = sut.entry(&spec);
            sut.queue.push(0, entry).unwrap();
            remaining[spec.customer] += 1;
        }

        let mut work_per_share = [0.0; SHARES.len()];
        while let Some(next) = sut.queue.pop(0) {
            sut.queue.finish(next.key);
            let customer = sut.customers.iter().position(|it| *it == next.entry.customer).unwrap();
            let work = next.entry.estimate_ms as f64 / f64::from(SHARES[customer]);
            work_per_share[customer] += work;
            remaining[customer] -= 1;
            if remaining.contains(&0) {
                break;
            }
            let min_work = work_per_share.iter().copied().fold(f64::MAX, f64::min);
            for (work, share) in work_per_share.iter().zip(SHARES) {
                let bound = MAX_LEAD_MS / f64::from(share) + 2.0 * MAX_ESTIMATE_MS as f64;
                prop_assert!(work - min_work <= bound, "lead of {} ms per share", work - min_work);
            }
        }
        Ok(())
    });
    result.map_err(|it| it.to_string())
}

#[test]
fn entries_start_only_before_expiry_and_leave_the_queue_exactly_once() {
    run(Sabotage::None).unwrap();
}

#[test]
fn backlogged_customers_get_work_in_proportion_to_their_shares() {
    run_fairness(Sabotage::None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    let mechanisms = [
        Sabotage::IgnoreExclusive,
        Sabotage::StartExpired,
        Sabotage::NoEviction,
        Sabotage::Unbounded,
    ];
    for sabotage in mechanisms {
        assert!(run(sabotage).is_err(), "{sabotage:?} was not detected");
    }
    assert!(run_fairness(Sabotage::IgnoreShares).is_err());
}
