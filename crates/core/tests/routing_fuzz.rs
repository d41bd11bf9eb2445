//! Fuzzes the choice of upstreams against an oracle that checks its guarantees: cold limits, no
//! second attempt of a stage at the same upstream, one probe at a time, and at most half of the
//! pool ejected.

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

/// Age up to which a reported load is not discounted, in milliseconds.
const FULL_WEIGHT_MS: u64 = 2_000;

/// Time for which an unanswered probe blocks other attempts, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 10_000;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Reply { upstream: usize, load: LoadReport },
    Choose { prefix: Option<u64>, tried: Vec<usize>, numbers: (u64, u64, u64) },
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
            .prop_map(|(prefix, tried, numbers)| Event::Choose { prefix, tried, numbers }),
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

/// Last report received from one upstream and attempts sent to it.
#[derive(Clone, Copy, Default)]
struct UpstreamRecord {
    /// Time of the last report in milliseconds, and the report.
    reported: Option<(u64, LoadReport)>,
    sent_since_reply: u32,
    in_flight: u32,
    probe_sent_ms: Option<u64>,
}

impl UpstreamRecord {
    fn is_cold(&self) -> bool {
        self.reported.is_none_or(|(_, load)| load.cold)
    }

    fn min_outstanding(&self, now_ms: u64) -> u32 {
        let mut reported = 0;
        if let Some((at_ms, load)) = self.reported
            && now_ms - at_ms < FULL_WEIGHT_MS
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
    records: [UpstreamRecord; UPSTREAMS],
    /// Upstream of each attempt in flight.
    in_flight: Vec<usize>,
    now_ms: u64,
}

impl Sut {
    fn choose(&mut self, prefix: Option<u64>, tried: &[usize], numbers: (u64, u64, u64)) {
        let now_ms = self.now_ms;
        let tried_keys: Vec<_> = tried.iter().map(|it| self.keys[*it]).collect();
        let candidates = self.pool.candidates(now_ms, prefix, &tried_keys);
        let context = ChoiceContext { prefix, ..ChoiceContext::default() };
        let random = RandomNumbers { first: numbers.0, second: numbers.1, probe: numbers.2 };
        let choice = match choose(&candidates, &context, random) {
            Ok(choice) => choice,
            Err(ChoiceError::Cold) => return,
            Err(ChoiceError::NoUpstream) => {
                let is_usable = |it: &usize| {
                    let is_draining =
                        self.records[*it].reported.is_some_and(|(_, load)| load.draining);
                    let health_status = candidates[*it].health_status;
                    !tried.contains(it) && !is_draining && health_status == HealthStatus::InService
                };
                assert!(
                    !(0..UPSTREAMS).any(|it| is_usable(&it)),
                    "refused despite a usable upstream"
                );
                return;
            }
        };

        let chosen = self.keys.iter().position(|it| *it == choice.key).unwrap();
        let record = &mut self.records[chosen];
        assert!(!tried.contains(&chosen), "chose an upstream that was already tried");
        assert!(!record.reported.is_some_and(|(_, it)| it.draining), "chose a draining upstream");
        if record.is_cold() {
            let outstanding = record.min_outstanding(now_ms);
            assert!(outstanding < COLD_LIMIT, "more calls at a cold upstream than its limit");
        }
        let is_probing = record.probe_sent_ms.is_some_and(|it| now_ms < it + PROBE_TIMEOUT_MS);
        assert!(!is_probing, "second attempt while a return probe is in progress");

        if choice.reason == ChoiceReason::ReturnProbe {
            record.probe_sent_ms = Some(now_ms);
        }
        record.sent_since_reply += 1;
        record.in_flight += 1;
        self.in_flight.push(chosen);
        self.pool.on_sent(now_ms, choice.key);
    }

    fn end(&mut self, index: usize, end: AttemptEnd) {
        if self.in_flight.is_empty() {
            return;
        }
        let upstream = self.in_flight.swap_remove(index % self.in_flight.len());
        let record = &mut self.records[upstream];
        record.in_flight -= 1;
        record.sent_since_reply = record.sent_since_reply.min(record.in_flight);
        record.probe_sent_ms = None;
        self.pool.on_end(self.now_ms, self.keys[upstream], end);
    }

    fn check_ejected_part(&self) {
        let candidates = self.pool.candidates(self.now_ms, None, &[]);
        let ejected =
            candidates.iter().filter(|it| it.health_status != HealthStatus::InService).count();
        assert!(ejected * 2 <= UPSTREAMS, "more than half of the pool is ejected");
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
        let records = [UpstreamRecord::default(); UPSTREAMS];
        Self { pool, keys, records, in_flight: Vec::new(), now_ms: 0 }
    }

    fn apply(mut sut: Self, (): &(), event: Event) -> Self {
        match event {
            Event::Advance(ms) => sut.now_ms += ms,
            Event::Reply { upstream, load } => {
                sut.records[upstream].reported = Some((sut.now_ms, load));
                sut.records[upstream].sent_since_reply = 0;
                sut.pool.on_reply(sut.now_ms, sut.keys[upstream], load);
            }
            Event::Choose { prefix, tried, numbers } => sut.choose(prefix, &tried, numbers),
            Event::End { index, end } => sut.end(index, end),
        }
        sut.check_ejected_part();
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
fn choices_respect_cold_limits_tried_upstreams_and_ejections() {
    run(Sabotage::None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    let mechanisms = [
        Sabotage::IgnoreOwnAttempts,
        Sabotage::IgnoreCold,
        Sabotage::IgnoreTried,
        Sabotage::EjectAll,
        Sabotage::ReturnAtOnce,
    ];
    for sabotage in mechanisms {
        assert!(run(sabotage).is_err(), "{sabotage:?} was not detected");
    }
}
