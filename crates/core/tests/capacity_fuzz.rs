//! Fuzzes the cold limit against an oracle that knows only the promise about it.

use std::cell::Cell;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use yuccatrail_core::capacity::{
    CallEnd, CallKey, Capacity, CapacityConfig, Epoch, Probe, WARM_COMPLETIONS,
};

const SEED: u64 = 7_001;
const CONFIG: CapacityConfig = CapacityConfig { concurrency: 12, cold_concurrency: 2 };

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Start { expected_ms: u64 },
    Finish { index: usize, end: CallEnd },
    SendProbe,
    AnswerProbe { index: usize, boot_id: Option<u64>, warm: Option<bool> },
    ConnectFailure,
    Reset,
    Stop,
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        6 => Just(CallEnd::Completed),
        1 => Just(CallEnd::Failed),
        1 => Just(CallEnd::Abandoned),
    ];
    let warm = prop_oneof![Just(None), Just(Some(true)), Just(Some(false))];
    prop_oneof![
        6 => (1..200_u64).prop_map(Event::Advance),
        20 => (10..100_u64).prop_map(|expected_ms| Event::Start { expected_ms }),
        16 => (0..16_usize, end).prop_map(|(index, end)| Event::Finish { index, end }),
        6 => Just(Event::SendProbe),
        6 => (0..4_usize, prop::option::weighted(0.9, 0..3_u64), warm)
            .prop_map(|(index, boot_id, warm)| Event::AnswerProbe { index, boot_id, warm }),
        1 => Just(Event::ConnectFailure),
        1 => Just(Event::Reset),
        1 => Just(Event::Stop),
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

/// What the promise says, counted in events rather than in terms of the implementation.
#[derive(Default)]
struct Oracle {
    now: u64,
    last_cold: u64,
    boot_id: Option<u64>,
    warm: bool,
    completed_since_cold: u32,
    calls: Vec<(CallKey, u64)>,
    probes: Vec<(Epoch, u64)>,
    limit: u32,
    completed_since_raise: u32,
}

impl Oracle {
    fn turn_cold(&mut self) {
        self.last_cold = self.now;
        self.warm = false;
        self.completed_since_cold = 0;
    }

    fn on_answer(&mut self, sent: u64, boot_id: Option<u64>, warm: Option<bool>) {
        if let (Some(old), Some(new)) = (self.boot_id, boot_id)
            && old != new
        {
            self.turn_cold();
        }
        self.boot_id = boot_id.or(self.boot_id);
        match warm {
            Some(false) => self.turn_cold(),
            Some(true) if sent > self.last_cold => self.warm = true,
            _ => {}
        }
    }

    fn on_finish(&mut self, started: u64, end: CallEnd) {
        self.completed_since_raise += 1;
        if end == CallEnd::Completed && started > self.last_cold {
            self.completed_since_cold += 1;
        }
        if self.completed_since_cold >= WARM_COMPLETIONS {
            self.warm = true;
        }
    }

    fn check(&mut self, capacity: &Capacity) {
        let cold_limit = CONFIG.cold_concurrency;
        let limit = capacity.limit();
        assert!(limit <= CONFIG.concurrency, "limit {limit} beyond the configured one");
        if !self.warm {
            assert!(limit <= cold_limit, "limit {limit} while the upstream may be cold");
        }
        let since_cold = self.calls.iter().filter(|(_, started)| *started > self.last_cold);
        if !self.warm {
            assert!(since_cold.count() as u32 <= cold_limit, "too many calls in a cold start");
        }

        if limit > self.limit.max(cold_limit) {
            assert!(limit <= self.limit.max(cold_limit) * 2, "limit more than doubled");
            assert!(self.completed_since_raise >= self.limit, "limit rose within a window");
        }
        if limit != self.limit {
            self.completed_since_raise = 0;
        }
        self.limit = limit;
    }
}

struct Sut {
    capacity: Capacity,
    now_ms: u64,
    oracle: Oracle,
}

impl Sut {
    fn apply_event(&mut self, event: Event) {
        let Self { capacity, now_ms, oracle } = self;
        oracle.now += 1;
        match event {
            Event::Advance(ms) => *now_ms += ms,
            Event::Start { expected_ms } => {
                let running = capacity.running();
                let started = capacity.try_start(*now_ms, expected_ms);
                let Some(key) = started else { return };
                assert!(oracle.warm || running < CONFIG.cold_concurrency, "start while cold");
                oracle.calls.push((key, oracle.now));
            }
            Event::Finish { index, end } => {
                if oracle.calls.is_empty() {
                    return;
                }
                let (key, started) = oracle.calls.swap_remove(index % oracle.calls.len());
                oracle.on_finish(started, end);
                capacity.finish(*now_ms, key, end);
            }
            Event::SendProbe => oracle.probes.push((capacity.epoch(), oracle.now)),
            Event::AnswerProbe { index, boot_id, warm } => {
                if oracle.probes.is_empty() {
                    return;
                }
                let (epoch, sent) = oracle.probes.swap_remove(index % oracle.probes.len());
                oracle.on_answer(sent, boot_id, warm);
                capacity.on_probe(Probe { epoch, boot_id, warm });
            }
            Event::ConnectFailure => {
                oracle.turn_cold();
                capacity.on_connect_failure(*now_ms);
            }
            Event::Reset => {
                oracle.turn_cold();
                capacity.on_reset();
            }
            Event::Stop => {
                oracle.turn_cold();
                capacity.on_stop();
            }
        }
        assert_eq!(capacity.running() as usize, oracle.calls.len());
    }
}

#[cfg(feature = "sabotage")]
use yuccatrail_core::capacity::Sabotage;
#[cfg(not(feature = "sabotage"))]
#[derive(Clone, Copy, Default)]
enum Sabotage {
    #[default]
    None,
}

thread_local! {
    static SABOTAGE: Cell<Sabotage> = Cell::default();
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        #[cfg_attr(not(feature = "sabotage"), expect(unused_mut))]
        let mut capacity = Capacity::new(CONFIG);
        #[cfg(feature = "sabotage")]
        capacity.sabotage(SABOTAGE.get());
        Self { capacity, now_ms: 0, oracle: Oracle::default() }
    }

    fn apply(mut sut: Self, (): &(), event: Event) -> Self {
        sut.apply_event(event);
        sut.oracle.check(&sut.capacity);
        sut
    }
}

fn run(sabotage: Sabotage) -> Result<(), String> {
    SABOTAGE.set(sabotage);
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    let strategy = Events::sequential_strategy(1..200);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, events, seen)| {
        Sut::test_sequential(config.clone(), state, events, seen);
        Ok(())
    });
    result.map_err(|it| it.to_string())
}

#[test]
fn cold_limit_holds() {
    run(Sabotage::None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_notices_each_disabled_mechanism() {
    let mechanisms = [
        Sabotage::IgnoreBootId,
        Sabotage::IgnoreReset,
        Sabotage::AcceptStaleEvidence,
        Sabotage::StartWarm,
        Sabotage::NoSlowStart,
    ];
    for sabotage in mechanisms {
        assert!(run(sabotage).is_err(), "{sabotage:?} went unnoticed");
    }
}
