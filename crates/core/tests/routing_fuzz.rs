//! Fuzzes the choice of upstreams against an oracle that knows only its promises.

use std::cell::Cell;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use yuccatrail_core::routing::{
    AttemptEnd, ChoiceContext, ChoiceError, ChoiceReason, HealthStatus, LoadReport, PoolView,
    RandomNumbers, UpstreamKey, choose,
};

const SEED: u64 = 7_003;
const UPSTREAMS: usize = 5;
const COLD_LIMIT: u32 = 2;

/// Age up to which a reported load counts in full, in milliseconds.
const FRESH_MS: u64 = 2_000;

/// Time for which an attempt at return is the only one, in milliseconds.
const PROBE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Reply { upstream: usize, load: LoadReport },
    Route { prefix: Option<u64>, tried: Vec<usize>, numbers: (u64, u64, u64) },
    End { index: usize, end: AttemptEnd },
}

fn load() -> impl Strategy<Value = LoadReport> {
    (0..4_u32, 0..3_u32, prop::bool::ANY, prop::bool::weighted(0.1)).prop_map(
        |(running, queued, cold, draining)| LoadReport {
            running,
            queued,
            limit: if cold { COLD_LIMIT } else { 8 },
            projected_limit: if cold { COLD_LIMIT } else { 8 },
            cold,
            draining,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        3 => (0.1..20.0_f64).prop_map(|ratio| AttemptEnd::Completed { ratio }),
        1 => (0.1..20.0_f64).prop_map(|ratio| AttemptEnd::Abandoned { ratio }),
        4 => Just(AttemptEnd::Failed),
        1 => Just(AttemptEnd::NotRun),
    ];
    let tried = prop::collection::vec(0..UPSTREAMS, 0..3);
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    prop_oneof![
        4 => (1..700_u64).prop_map(Event::Advance),
        4 => (0..UPSTREAMS, load()).prop_map(|(upstream, load)| Event::Reply { upstream, load }),
        12 => (prop::option::of(0..8_u64), tried, numbers)
            .prop_map(|(prefix, tried, numbers)| Event::Route { prefix, tried, numbers }),
        10 => (0..16_usize, end).prop_map(|(index, end)| Event::End { index, end }),
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

/// What the entry was told of one upstream and sent to it.
#[derive(Clone, Copy, Default)]
struct Known {
    reported: Option<(u64, LoadReport)>,
    sent_since_reply: u32,
    in_flight: u32,
    probe_ms: Option<u64>,
}

impl Known {
    fn is_cold(&self) -> bool {
        self.reported.is_none_or(|(_, load)| load.cold)
    }

    fn at_least_outstanding(&self, now_ms: u64) -> u32 {
        let mut reported = 0;
        if let Some((at_ms, load)) = self.reported
            && now_ms - at_ms < FRESH_MS
        {
            reported = load.running + load.queued;
        }
        (reported + self.sent_since_reply).max(self.in_flight)
    }
}

#[cfg(feature = "sabotage")]
use yuccatrail_core::routing::Sabotage;
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
    pool: PoolView,
    keys: Vec<UpstreamKey>,
    known: [Known; UPSTREAMS],
    flights: Vec<usize>,
    now_ms: u64,
}

impl Sut {
    fn route(&mut self, prefix: Option<u64>, tried: &[usize], numbers: (u64, u64, u64)) {
        let now_ms = self.now_ms;
        let tried_keys: Vec<_> = tried.iter().map(|it| self.keys[*it]).collect();
        let candidates = self.pool.candidates(now_ms, prefix, &tried_keys);
        let context = ChoiceContext { prefix, ..ChoiceContext::default() };
        let random = RandomNumbers { first: numbers.0, second: numbers.1, probe: numbers.2 };
        let choice = match choose(&candidates, &context, random) {
            Ok(choice) => choice,
            Err(ChoiceError::Cold) => return,
            Err(ChoiceError::NoUpstream) => {
                let usable = |it: &usize| {
                    let drains = self.known[*it].reported.is_some_and(|(_, load)| load.draining);
                    let health_status = candidates[*it].health_status;
                    !tried.contains(it) && !drains && health_status == HealthStatus::InService
                };
                assert!(!(0..UPSTREAMS).any(|it| usable(&it)), "refused beside a usable upstream");
                return;
            }
        };

        let chosen = self.keys.iter().position(|it| *it == choice.key).unwrap();
        let known = &mut self.known[chosen];
        assert!(!tried.contains(&chosen), "chose an upstream that was tried");
        assert!(!known.reported.is_some_and(|(_, it)| it.draining), "chose a draining upstream");
        if known.is_cold() {
            let outstanding = known.at_least_outstanding(now_ms);
            assert!(outstanding < COLD_LIMIT, "more calls than a cold upstream bears");
        }
        let probing = known.probe_ms.is_some_and(|it| now_ms < it + PROBE_MS);
        assert!(!probing, "second attempt beside the one for its return");

        if choice.reason == ChoiceReason::ReturnProbe {
            known.probe_ms = Some(now_ms);
        }
        known.sent_since_reply += 1;
        known.in_flight += 1;
        self.flights.push(chosen);
        self.pool.on_sent(now_ms, choice.key);
    }

    fn end(&mut self, index: usize, end: AttemptEnd) {
        if self.flights.is_empty() {
            return;
        }
        let upstream = self.flights.swap_remove(index % self.flights.len());
        let known = &mut self.known[upstream];
        known.in_flight -= 1;
        known.sent_since_reply = known.sent_since_reply.min(known.in_flight);
        known.probe_ms = None;
        self.pool.on_end(self.now_ms, self.keys[upstream], end);
    }

    fn check_ejected(&self) {
        let candidates = self.pool.candidates(self.now_ms, None, &[]);
        let out =
            candidates.iter().filter(|it| it.health_status != HealthStatus::InService).count();
        assert!(out * 2 <= UPSTREAMS, "more than half of the pool is ejected");
    }
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        let mut pool = PoolView::new();
        #[cfg(feature = "sabotage")]
        pool.sabotage(SABOTAGE.get());
        let keys = (0..UPSTREAMS).map(|it| pool.add(0, it as u64, it == 0, COLD_LIMIT)).collect();
        let known = [Known::default(); UPSTREAMS];
        Self { pool, keys, known, flights: Vec::new(), now_ms: 0 }
    }

    fn apply(mut sut: Self, (): &(), event: Event) -> Self {
        match event {
            Event::Advance(ms) => sut.now_ms += ms,
            Event::Reply { upstream, load } => {
                sut.known[upstream].reported = Some((sut.now_ms, load));
                sut.known[upstream].sent_since_reply = 0;
                sut.pool.on_reply(sut.now_ms, sut.keys[upstream], load);
            }
            Event::Route { prefix, tried, numbers } => sut.route(prefix, &tried, numbers),
            Event::End { index, end } => sut.end(index, end),
        }
        sut.check_ejected();
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
fn choices_respect_cold_limits_tries_and_ejections() {
    run(Sabotage::None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_notices_each_disabled_mechanism() {
    let mechanisms = [
        Sabotage::IgnoreOwnAttempts,
        Sabotage::IgnoreCold,
        Sabotage::IgnoreTried,
        Sabotage::EjectAll,
        Sabotage::ReturnAtOnce,
    ];
    for sabotage in mechanisms {
        assert!(run(sabotage).is_err(), "{sabotage:?} went unnoticed");
    }
}
