//! Fuzzes the concurrency limit against an oracle that checks its guarantees: the cold limit holds
//! until the upstream is proved warm, and a warm limit at most doubles per window.

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
    RespondToProbe { index: usize, boot_id: Option<u64>, warm: Option<bool> },
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
            .prop_map(|(index, boot_id, warm)| Event::RespondToProbe { index, boot_id, warm }),
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

/// Model of the guarantees in terms of events, independent of the implementation.
#[derive(Default)]
struct Oracle {
    /// Number of events so far.
    now: u64,
    /// Event of the last known or assumed cold start.
    last_cold: u64,
    boot_id: Option<u64>,
    warm: bool,
    completed_since_cold: u32,
    /// Calls in progress with the event at which they started.
    calls: Vec<(CallKey, u64)>,
    /// Unanswered probes with the event at which they were sent.
    probes: Vec<(Epoch, u64)>,
    limit: u32,
    finished_since_change: u32,
}

impl Oracle {
    fn on_cold_start(&mut self) {
        self.last_cold = self.now;
        self.warm = false;
        self.completed_since_cold = 0;
    }

    fn on_probe_response(&mut self, sent: u64, boot_id: Option<u64>, warm: Option<bool>) {
        if let (Some(old), Some(new)) = (self.boot_id, boot_id)
            && old != new
        {
            self.on_cold_start();
        }
        self.boot_id = boot_id.or(self.boot_id);
        match warm {
            Some(false) => self.on_cold_start(),
            Some(true) if sent > self.last_cold => self.warm = true,
            _ => {}
        }
    }

    fn on_finish(&mut self, started: u64, end: CallEnd) {
        self.finished_since_change += 1;
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
        assert!(limit <= CONFIG.concurrency, "limit {limit} exceeds the configured maximum");
        if !self.warm {
            assert!(
                limit <= cold_limit,
                "limit {limit} exceeds the cold limit while the upstream may be cold"
            );
        }
        let started_since_cold = self.calls.iter().filter(|(_, started)| *started > self.last_cold);
        if !self.warm {
            assert!(
                started_since_cold.count() as u32 <= cold_limit,
                "calls in a cold start exceed the cold limit"
            );
        }

        if limit > self.limit.max(cold_limit) {
            assert!(
                limit <= self.limit.max(cold_limit) * 2,
                "limit rose by more than a factor of two"
            );
            assert!(self.finished_since_change >= self.limit, "limit rose before the window ended");
        }
        if limit != self.limit {
            self.finished_since_change = 0;
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
                assert!(
                    oracle.warm || running < CONFIG.cold_concurrency,
                    "call beyond the cold limit started while the upstream may be cold"
                );
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
            Event::RespondToProbe { index, boot_id, warm } => {
                if oracle.probes.is_empty() {
                    return;
                }
                let (epoch, sent) = oracle.probes.swap_remove(index % oracle.probes.len());
                oracle.on_probe_response(sent, boot_id, warm);
                capacity.on_probe(Probe { epoch, boot_id, warm });
            }
            Event::ConnectFailure => {
                oracle.on_cold_start();
                capacity.on_connect_failure(*now_ms);
            }
            Event::Reset => {
                oracle.on_cold_start();
                capacity.on_reset();
            }
            Event::Stop => {
                oracle.on_cold_start();
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
fn limit_never_exceeds_the_cold_limit_before_warmth_is_proved() {
    run(Sabotage::None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    let mechanisms = [
        Sabotage::IgnoreBootId,
        Sabotage::IgnoreReset,
        Sabotage::IgnoreEpoch,
        Sabotage::StartWarm,
        Sabotage::NoSlowStart,
    ];
    for sabotage in mechanisms {
        assert!(run(sabotage).is_err(), "{sabotage:?} was not detected");
    }
}
