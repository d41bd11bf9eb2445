//! Fuzzes the agent's state machine against an oracle that checks only the guarantees for one
//! upstream.

#[path = "../harness/mod.rs"]
mod harness;
mod oracle;

use harness::{FuzzSettings, assert_invariants_hold};
use proptest::prelude::*;
use yuccatrail_core::{
    FastMap,
    agent::{AgentCore, AgentSettings, CallResult, ProbeResult, ProbeTicket, Submission},
    attempt::{AttemptLookup, Progress},
    control::{ConfigRecord, ControlState, ControlUpdate, OperationsRecord},
    drain::{FreshnessSettings, GateSettings},
    ids::{AttemptId, Digest, Incarnation, RequestId, StageIndex},
    outcome::Reason,
};

use crate::oracle::{Oracle, SentProbe};

const FUZZ: FuzzSettings = FuzzSettings { seed: 9_001, cases: 256, steps: 300 };
const AGENT: Incarnation = Incarnation(7);
const RETENTION_MS: u64 = 100;
const MAX_PROBE_AGE_MS: u64 = 5;
const COLD_LIMIT: usize = 2;
const CONCURRENCY: usize = 6;
const DOCUMENT: &str = r#"
[[pool]]
name = "engines"
kind = "generate"
concurrency = 6
cold_concurrency = 2
queue = 5
estimate_ms = 20

[[customer]]
name = "large"
share = 3

[[customer]]
name = "small"
"#;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Pause(u64),
    Submit { request: u8, is_large: bool, dispatch_in_ms: u64, deadline_in_ms: u64 },
    Resubmit { index: usize },
    Cancel { request: u8 },
    Finish { index: usize, result: u8 },
    SendProbe,
    AnswerProbe { boot_id: u64, warm: bool },
    Probe { boot_id: u64, warm: bool },
    RefuseProbe,
    StateLimit(f64),
    LiftLimit,
    ChangeOperations { out: bool, leaving: bool },
    Confirm,
    Stop,
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (1..40_u64).prop_map(Event::Advance),
        1 => (1_500..6_000_u64).prop_map(Event::Pause),
        45 => (0..96_u8, any::<bool>(), 0..800_u64, 0..800_u64).prop_map(
            |(request, is_large, dispatch_in_ms, deadline_in_ms)| Event::Submit {
                request, is_large, dispatch_in_ms, deadline_in_ms,
            },
        ),
        6 => (0..16_usize).prop_map(|index| Event::Resubmit { index }),
        6 => (0..96_u8).prop_map(|request| Event::Cancel { request }),
        30 => (0..8_usize, 0..30_u8).prop_map(|(index, result)| Event::Finish { index, result }),
        8 => Just(Event::SendProbe),
        8 => (0..20_u64, prop::bool::weighted(0.8))
            .prop_map(|(number, warm)| Event::AnswerProbe { boot_id: number / 17, warm }),
        30 => (0..60_u64, prop::bool::weighted(0.95))
            .prop_map(|(number, warm)| Event::Probe { boot_id: number / 58, warm }),
        1 => Just(Event::RefuseProbe),
        1 => (0.0..8.0).prop_map(Event::StateLimit),
        2 => Just(Event::LiftLimit),
        2 => (prop::bool::weighted(0.3), prop::bool::weighted(0.2))
            .prop_map(|(out, leaving)| Event::ChangeOperations { out, leaving }),
        3 => Just(Event::Confirm),
        1 => prop::bool::weighted(0.1)
            .prop_map(|stop| if stop { Event::Stop } else { Event::Tick }),
        8 => Just(Event::Tick),
    ]
}

struct Sut {
    core: AgentCore,
    control: ControlState,
    now_ms: u64,
    /// End of the last pause, until the control state is confirmed.
    resumed_ms: Option<u64>,
    pending_probe: Option<(ProbeTicket, SentProbe)>,
    /// Number of events so far.
    step: u64,
    /// Number of the event in which each attempt was submitted.
    arrival_steps: FastMap<AttemptId, u64>,
    boot_id: Option<u64>,
    submissions: FastMap<AttemptId, Submission>,
    submitted: Vec<AttemptId>,
    oracle: Oracle,
}

impl Sut {
    fn start() -> Self {
        let gate = GateSettings {
            upstream: "u".to_owned(),
            data_centre: "north".to_owned(),
            freshness: FreshnessSettings::default(),
        };
        let mut settings = AgentSettings::new(AGENT, "engines".to_owned(), gate);
        settings.ledger.retention_ms = RETENTION_MS;
        let mut core = AgentCore::new(settings, 0);
        let mut control = ControlState::new();
        control.adopt(ControlUpdate {
            config: Some(ConfigRecord {
                version: 1,
                digest: Digest::of(DOCUMENT.as_bytes()),
                text: DOCUMENT.into(),
            }),
            operations: Some(OperationsRecord::initial()),
        });
        core.set_control(&control, 0);
        Self {
            core,
            control,
            now_ms: 0,
            resumed_ms: None,
            pending_probe: None,
            step: 0,
            arrival_steps: FastMap::default(),
            boot_id: None,
            submissions: FastMap::default(),
            submitted: Vec::new(),
            oracle: Oracle::default(),
        }
    }

    fn apply_event(&mut self, event: Event) {
        self.step += 1;
        match event {
            Event::Advance(ms) => self.now_ms += ms,
            Event::Pause(ms) => self.pause(ms),
            Event::Submit { request, is_large, dispatch_in_ms, deadline_in_ms } => {
                self.submit(request, is_large, dispatch_in_ms, deadline_in_ms);
            }
            Event::Resubmit { index } => self.resubmit(index),
            Event::Cancel { request } => self.cancel(request),
            Event::Finish { index, result } => self.finish(index, result),
            Event::SendProbe => self.send_probe(),
            Event::AnswerProbe { boot_id, warm } => self.answer_probe(boot_id, warm),
            Event::Probe { boot_id, warm } => {
                self.send_probe();
                self.answer_probe(boot_id, warm);
            }
            Event::RefuseProbe => {
                self.oracle.turn_cold();
                let ticket = self.core.begin_probe(self.now_ms);
                self.core.on_probe(ticket, ProbeResult::Refused, self.now_ms);
            }
            Event::StateLimit(per_s) => {
                self.core.observe_request_limit(Some(per_s), self.now_ms, self.now_ms);
                self.oracle.limit = Some((per_s, self.oracle.dispatch_times_ms.len()));
            }
            Event::LiftLimit => {
                self.now_ms += 1;
                self.core.observe_request_limit(None, self.now_ms, self.now_ms);
                self.oracle.limit = None;
            }
            Event::ChangeOperations { out, leaving } => self.change_operations(out, leaving),
            Event::Confirm => {
                self.core.confirm_control(self.now_ms, 0);
                self.resumed_ms = None;
                self.oracle.is_unconfirmed = false;
            }
            Event::Stop => {
                self.oracle.is_closed = true;
                self.core.stop(self.now_ms);
            }
            Event::Tick => {}
        }
        self.dispatch();
        self.check_reads();
    }

    fn pause(&mut self, ms: u64) {
        self.core.tick(self.now_ms);
        self.now_ms += ms;
        self.resumed_ms = Some(self.now_ms);
        self.oracle.is_unconfirmed = true;
    }

    fn submit(&mut self, request: u8, is_large: bool, dispatch_in_ms: u64, deadline_in_ms: u64) {
        let attempt = attempt(request);
        // An entry sets the limits of an attempt only once.
        if self.submissions.contains_key(&attempt) {
            return;
        }
        let now_ms = self.now_ms;
        let submission =
            submission(request, is_large, now_ms + dispatch_in_ms, now_ms + deadline_in_ms);
        self.submissions.insert(attempt, submission.clone());
        self.submitted.push(attempt);
        self.arrival_steps.insert(attempt, self.step);
        let lookup = self.core.submit(&submission, self.now_ms);
        self.oracle.on_report(attempt, &lookup);
    }

    /// Submits an attempt whose dispatch limit and deadline are far in the future.
    fn submit_with_slack(&mut self, request: u8) {
        let (dispatch_in_ms, deadline_in_ms) = (1_000, 1_000);
        let is_large = true;
        self.apply_event(Event::Submit { request, is_large, dispatch_in_ms, deadline_in_ms });
    }

    fn resubmit(&mut self, index: usize) {
        if self.submitted.is_empty() {
            return;
        }
        let attempt = self.submitted[index % self.submitted.len()];
        let submission = self.submissions[&attempt].clone();
        let lookup = self.core.submit(&submission, self.now_ms);
        self.oracle.on_report(attempt, &lookup);
    }

    fn cancel(&mut self, request: u8) {
        let attempt = attempt(request);
        let known = self.submissions.get(&attempt);
        let dispatch_by_ms = known.map_or(self.now_ms + 500, |it| it.dispatch_by_ms);
        let (lookup, _) = self.core.cancel(attempt, AGENT, dispatch_by_ms, self.now_ms);
        self.oracle.on_report(attempt, &lookup);
        if self.submissions.contains_key(&attempt) {
            return;
        }
        // The cancel has fixed the dispatch limit of an attempt that is not submitted yet.
        let submission = submission(request, false, dispatch_by_ms, dispatch_by_ms + 100);
        self.submissions.insert(attempt, submission);
        self.submitted.push(attempt);
    }

    fn finish(&mut self, index: usize, result: u8) {
        if self.oracle.running.is_empty() {
            return;
        }
        let index = index % self.oracle.running.len();
        let dispatch = self.oracle.running.swap_remove(index);
        let result = match result {
            0 => {
                self.oracle.turn_cold();
                self.core.on_lost();
                CallResult::Lost
            }
            1 => {
                self.oracle.turn_cold();
                CallResult::NotConnected
            }
            2 => CallResult::Rejected { status: 500 },
            3 => CallResult::Cancelled,
            _ => {
                self.oracle.on_completed(dispatch);
                CallResult::Completed { status: 200, content_type: None }
            }
        };
        self.core.on_end(dispatch.key, &result, self.now_ms);
    }

    fn send_probe(&mut self) {
        let sent = SentProbe { sent_ms: self.now_ms, sent_step: self.step };
        self.pending_probe = Some((self.core.begin_probe(self.now_ms), sent));
        self.oracle.turned_cold_since_probe = false;
    }

    fn answer_probe(&mut self, boot_id: u64, warm: bool) {
        let Some((ticket, sent)) = self.pending_probe.take() else { return };
        let is_current = !self.oracle.turned_cold_since_probe;
        let is_restart = self.boot_id.is_some_and(|it| it != boot_id);
        self.boot_id = Some(boot_id);
        let result = ProbeResult::Answered { boot_id: Some(boot_id), warm: Some(warm) };
        self.core.on_probe(ticket, result, self.now_ms);
        if is_restart {
            self.oracle.limit = None;
        }
        if is_restart || !warm {
            self.oracle.turn_cold();
        } else if is_current {
            self.oracle.is_warm = true;
            self.oracle.warm_probe = Some(sent);
        }
    }

    fn change_operations(&mut self, out: bool, leaving: bool) {
        let held = self.control.operations().map(|it| it.version).unwrap_or_default();
        let record = OperationsRecord {
            version: held + 1,
            data_centres_out: if out { vec!["north".to_owned()] } else { Vec::new() },
            upstreams_leaving: if leaving { vec!["u".to_owned()] } else { Vec::new() },
        };
        self.control.adopt(ControlUpdate { config: None, operations: Some(record) });
        self.core.set_control(&self.control, self.now_ms);
        let is_stopping = self.core.load(self.now_ms).draining && !out && !leaving;
        self.oracle.is_closed = out || leaving || is_stopping;
    }

    fn dispatch(&mut self) {
        self.core.tick(self.now_ms);
        if self.resumed_ms.is_some_and(|it| self.now_ms >= it + 2_000) {
            // After the grace period the agent continues without a confirmation.
            self.oracle.is_unconfirmed = false;
        }
        while let Some(dispatch) = self.core.next(self.now_ms) {
            let submission = self.submissions[&dispatch.attempt].clone();
            let arrival_step = self.arrival_steps[&dispatch.attempt];
            self.oracle.on_dispatch(dispatch, &submission, arrival_step, self.now_ms);
        }
    }

    /// Compares the state that entries can read with the calls that the upstream received.
    fn check_reads(&mut self) {
        for &attempt in &self.submitted {
            let lookup = self.core.read(attempt, 0, 1024);
            self.oracle.on_report(attempt, &lookup);
            let AttemptLookup::Accepted(page) = lookup else { continue };
            let is_dispatched = self.oracle.dispatched.contains(&attempt);
            assert_eq!(
                is_dispatched,
                page.progress != Progress::Queued,
                "the progress of {attempt} disagrees with its dispatch"
            );
        }
        let load = self.core.load(self.now_ms);
        assert_eq!(load.running as usize, self.oracle.running.len());
        if self.oracle.is_closed {
            assert_eq!(load.queued, 0, "attempts are still queued after the gate closed");
        }
    }

    /// Lets every call finish and checks that every accepted attempt has ended.
    fn finish_all(mut self) {
        while !self.oracle.running.is_empty() {
            self.finish(0, 9);
            self.dispatch();
        }
        self.now_ms += 10_000;
        self.dispatch();
        assert_eq!(self.core.in_progress_count(), 0, "an accepted attempt has not ended");
    }
}

fn submission(request: u8, is_large: bool, dispatch_by_ms: u64, deadline_ms: u64) -> Submission {
    Submission {
        attempt: attempt(request),
        agent: AGENT,
        pool: "engines".to_owned(),
        customer: if is_large { "large" } else { "small" }.to_owned(),
        fingerprint: Digest::of(&[request]),
        strikes: Vec::new(),
        dispatch_by_ms,
        deadline_ms,
        estimate_ms: 20,
    }
}

fn attempt(request: u8) -> AttemptId {
    let request = RequestId(request.into());
    AttemptId { request, stage: StageIndex(0), number: 0, entry: Incarnation(1) }
}

impl harness::Simulation for Sut {
    type Mechanism = Sabotage;
    type Step = Event;

    fn new(disabled: Option<Sabotage>) -> Self {
        let mut sut = Self::start();
        harness::sabotage!(sut.core, disabled);
        sut
    }

    fn step() -> BoxedStrategy<Event> {
        event().boxed()
    }

    fn apply(&mut self, event: Event) {
        self.apply_event(event);
    }

    /// Nothing: each event is checked as it is applied.
    fn check(&self) {}

    fn finish(self) {
        self.finish_all();
    }
}

#[cfg(feature = "sabotage")]
use yuccatrail_core::agent::Sabotage;
#[cfg(not(feature = "sabotage"))]
#[derive(Clone, Copy, Debug)]
enum Sabotage {}

#[test]
fn agent_guarantees_hold_for_random_events() {
    assert_invariants_hold::<Sut>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    use yuccatrail_core::{capacity, drain, sabotage};
    let mechanisms = [
        Sabotage::ProbeBeforeStart,
        Sabotage::ProbeAfterArrival,
        Sabotage::RequestLimit,
        Sabotage::Capacity(capacity::Sabotage::IgnoreBootId),
        Sabotage::Capacity(capacity::Sabotage::IgnoreReset),
        Sabotage::Gate(drain::Sabotage::Operations),
        Sabotage::Gate(drain::Sabotage::PauseDetection),
        Sabotage::Ledger(sabotage::Sabotage::DeduplicateSubmits),
        Sabotage::Ledger(sabotage::Sabotage::Tombstone),
        Sabotage::Ledger(sabotage::Sabotage::UnknownAfterEviction),
    ];
    for sabotage in mechanisms {
        harness::assert_detected::<Sut>(FUZZ, sabotage);
    }
}

#[test]
fn attempt_for_another_pool_is_refused_as_wrong_upstream() {
    let mut sut = Sut::start();
    let submission =
        Submission { pool: "rerankers".to_owned(), ..submission(1, false, 1_000, 1_000) };
    let AttemptLookup::NotRun(refusal) = sut.core.submit(&submission, 0) else {
        panic!("the attempt for another pool was accepted");
    };
    assert_eq!(refusal.reason, Reason::WrongUpstream);
}

#[test]
fn burst_beyond_the_cold_limit_waits_for_a_probe_sent_after_its_arrival() {
    let mut sut = Sut::start();
    sut.apply_event(Event::Confirm);
    sut.apply_event(Event::Probe { boot_id: 0, warm: true });
    // Completed calls raise the limit above the cold limit.
    for request in 0..6 {
        sut.submit_with_slack(request);
        sut.apply_event(Event::Finish { index: 0, result: 9 });
    }
    sut.apply_event(Event::Probe { boot_id: 0, warm: true });
    assert!(sut.core.load(sut.now_ms).limit > COLD_LIMIT as u32);
    // The upstream becomes cold without notice while the last probe is still recent.
    sut.apply_event(Event::Advance(MAX_PROBE_AGE_MS / 2));
    for request in 10..14 {
        sut.submit_with_slack(request);
    }
    assert_eq!(sut.oracle.running.len(), COLD_LIMIT);
    assert!(sut.core.needs_probe());
    sut.apply_event(Event::Probe { boot_id: 0, warm: false });
    assert_eq!(sut.oracle.running.len(), COLD_LIMIT);
}
