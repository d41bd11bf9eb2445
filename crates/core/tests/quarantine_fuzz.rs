//! Property test of the quarantine: the number of crashed upstreams is bounded and no innocent
//! request is refused.

mod fuzz_support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{
        Admission, Quarantine, QuarantineLimits, Strike, SuspectTracker, exclusive_upstream,
    },
    sabotage::Sabotage,
};

const LIMITS: QuarantineLimits =
    QuarantineLimits { strikes: 2, retention_ms: 1_000_000, max_strikes: 1000 };
const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const PROCESSES: usize = ENTRIES + AGENTS;
const REQUESTS: u8 = 5;
/// Requests with a smaller number never complete, and only crashes end them.
const CRASHING: u8 = 2;
const MAX_STEPS: usize = 80;
const CASES: u32 = 1500;

#[derive(Clone, Debug)]
enum Step {
    Send { request: u8, entry: usize, agent: usize },
    Complete { agent: usize, index: usize },
    Crash { agent: usize },
    Gossip { from: usize, to: usize },
    Advance { ms: u64 },
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..REQUESTS, 0..ENTRIES, 0..AGENTS)
                .prop_map(|(request, entry, agent)| Step::Send { request, entry, agent }),
            3 => (0..AGENTS, 0..4usize).prop_map(|(agent, index)| Step::Complete { agent, index }),
            2 => (0..AGENTS).prop_map(|agent| Step::Crash { agent }),
            2 => (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Step::Gossip { from, to }),
            1 => (0..1000u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

#[derive(Clone, Copy)]
struct Running {
    request: u8,
    entry: usize,
    exclusive: bool,
}

/// State of all processes and upstreams; entries precede agents in the lists of processes.
struct Simulation {
    processes: Vec<Quarantine>,
    trackers: Vec<SuspectTracker>,
    upstreams: Vec<Vec<Running>>,
    crashes: [u32; AGENTS],
    now_ms: u64,
    /// Suspects that each process has been informed of, according to the oracle.
    informed: Vec<BTreeSet<u8>>,
    /// Number of copies of each request dispatched while neither entry nor agent was informed of
    /// it.
    uninformed_dispatches: BTreeMap<u8, u32>,
    crashed: BTreeMap<u8, u32>,
    /// Requests that were the only ones in progress at a crash, so that they may be refused.
    alone_at_crash: BTreeSet<u8>,
}

fn fingerprint(request: u8) -> Digest {
    Digest([request; 32])
}

fn agent_incarnation(agent: usize) -> Incarnation {
    Incarnation(agent as u64)
}

impl Simulation {
    fn new(sabotage: Option<Sabotage>) -> Self {
        let quarantine = fuzz_support::construct!(sabotage, Quarantine(LIMITS));
        Self {
            processes: vec![quarantine; PROCESSES],
            trackers: vec![SuspectTracker::new(); ENTRIES],
            upstreams: vec![Vec::new(); AGENTS],
            crashes: [0; AGENTS],
            now_ms: 0,
            informed: vec![BTreeSet::new(); PROCESSES],
            uninformed_dispatches: BTreeMap::new(),
            crashed: BTreeMap::new(),
            alone_at_crash: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Send { request, entry, agent } => self.send(request, entry, agent),
            Step::Complete { agent, index } => self.complete(agent, index),
            Step::Crash { agent } => self.crash(agent),
            Step::Gossip { from, to } => {
                self.gossip(from, to);
                Ok(())
            }
            Step::Advance { ms } => {
                self.now_ms += ms;
                Ok(())
            }
        }
    }

    fn send(&mut self, request: u8, entry: usize, agent: usize) -> Result<(), String> {
        let at_entry = self.processes[entry].admit(fingerprint(request), self.now_ms);
        self.check_refusal(request, at_entry)?;
        if !self.trackers[entry].start(fingerprint(request), at_entry) {
            return Ok(());
        }
        let strikes = self.processes[entry].strikes_against(fingerprint(request), self.now_ms);
        let mut candidates: Vec<_> = (0..AGENTS).map(agent_incarnation).collect();
        candidates.rotate_left(entry);
        let agent = match exclusive_upstream(fingerprint(request), &candidates) {
            Some(incarnation) if at_entry == Admission::Exclusive => incarnation.0 as usize,
            _ => agent,
        };
        let informed =
            [entry, ENTRIES + agent].iter().any(|&it| self.informed[it].contains(&request));
        if at_entry == Admission::Exclusive {
            self.inform(ENTRIES + agent, request);
        }
        let process = &mut self.processes[ENTRIES + agent];
        let admission = process.admit_submit(fingerprint(request), &strikes, self.now_ms);
        if let Some(admission) = admission {
            self.check_refusal(request, admission)?;
        }
        let exclusive = admission == Some(Admission::Exclusive);
        let upstream = &mut self.upstreams[agent];
        let is_free =
            if exclusive { upstream.is_empty() } else { !upstream.iter().any(|it| it.exclusive) };
        if matches!(admission, None | Some(Admission::Refused)) || !is_free {
            self.trackers[entry].finish(fingerprint(request));
            self.gossip(ENTRIES + agent, entry);
            return Ok(());
        }
        upstream.push(Running { request, entry, exclusive });
        *self.uninformed_dispatches.entry(request).or_default() += u32::from(!informed);
        Ok(())
    }

    fn complete(&mut self, agent: usize, index: usize) -> Result<(), String> {
        let Some(&Running { request, entry, .. }) = self.upstreams[agent].get(index) else {
            return Ok(());
        };
        if request < CRASHING {
            return Ok(());
        }
        self.upstreams[agent].remove(index);
        self.trackers[entry].finish(fingerprint(request));
        self.processes[ENTRIES + agent].on_complete(fingerprint(request));
        self.gossip(ENTRIES + agent, entry);
        let admission = self.processes[ENTRIES + agent].admit(fingerprint(request), self.now_ms);
        if admission != Admission::Normal {
            return Err(format!(
                "request {request} completed but is still admitted as {admission:?}"
            ));
        }
        Ok(())
    }

    fn crash(&mut self, agent: usize) -> Result<(), String> {
        let ended = std::mem::take(&mut self.upstreams[agent]);
        let requests: BTreeSet<u8> = ended.iter().map(|it| it.request).collect();
        let fingerprints: Vec<_> = ended.iter().map(|it| fingerprint(it.request)).collect();
        self.crashes[agent] += 1;
        let number = self.crashes[agent];
        let process = &mut self.processes[ENTRIES + agent];
        process.on_crash(agent_incarnation(agent), number, &fingerprints, self.now_ms);
        if requests.len() == 1 {
            self.alone_at_crash.extend(&requests);
        }
        for &request in &requests {
            self.inform(ENTRIES + agent, request);
            *self.crashed.entry(request).or_default() += 1;
        }
        for running in ended {
            self.trackers[running.entry].finish(fingerprint(running.request));
            self.gossip(ENTRIES + agent, running.entry);
        }
        self.check_crashes()
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let strikes = self.processes[from].recent_strikes(self.now_ms);
        self.processes[to].merge(&strikes, self.now_ms);
        let informed = self.informed[from].clone();
        self.informed[to].extend(informed);
    }

    fn inform(&mut self, process: usize, request: u8) {
        self.informed[process].insert(request);
    }

    fn check_refusal(&self, request: u8, admission: Admission) -> Result<(), String> {
        let is_innocent = request >= CRASHING && !self.alone_at_crash.contains(&request);
        if admission == Admission::Refused && is_innocent {
            return Err(format!("innocent request {request} was refused"));
        }
        Ok(())
    }

    fn check_crashes(&self) -> Result<(), String> {
        for request in 0..CRASHING {
            let crashed = self.crashed.get(&request).copied().unwrap_or_default();
            let bound = self.uninformed_dispatches.get(&request).copied().unwrap_or_default() + 1;
            if crashed > bound {
                return Err(format!(
                    "request {request} crashed {crashed} upstreams, more than {bound}"
                ));
            }
        }
        Ok(())
    }
}

/// Strikes received by a process in any order and any number of times.
struct Strikes;

impl ReferenceStateMachine for Strikes {
    type State = ();
    type Transition = Strike;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Strike> {
        (0..REQUESTS, 0..AGENTS, 0..2u32, any::<bool>(), any::<bool>(), 0..LIMITS.retention_ms)
            .prop_map(|(request, agent, number, alone, cleared, age_ms)| Strike {
                fingerprint: fingerprint(request),
                agent: agent_incarnation(agent),
                number,
                alone,
                cleared,
                age_ms,
            })
            .boxed()
    }

    fn apply(_: (), _: &Strike) {}
}

fn merged(strikes: &[Strike]) -> Vec<(Admission, Vec<Strike>)> {
    let mut quarantine = Quarantine::new(LIMITS);
    for strike in strikes {
        quarantine.merge(&[*strike], 0);
    }
    let mut known = vec![(Admission::Normal, quarantine.recent_strikes(0))];
    for request in 0..REQUESTS {
        let strikes = quarantine.strikes_against(fingerprint(request), 0);
        known.push((quarantine.admit(fingerprint(request), 0), strikes));
    }
    known
}

#[test]
fn merging_strikes_in_any_order_or_repeatedly_gives_the_same_state() {
    fuzz_support::run::<Strikes>(CASES, MAX_STEPS, |strikes| {
        let expected = merged(strikes);
        let reversed: Vec<_> = strikes.iter().rev().copied().collect();
        let repeated = [strikes, &reversed].concat();
        for other in [reversed, repeated] {
            if merged(&other) != expected {
                return Err(format!("merging {other:?} gave a different state"));
            }
        }
        Ok(())
    })
    .unwrap();
}

fn fuzz(sabotage: Option<Sabotage>) -> Result<(), String> {
    fuzz_support::run::<Steps>(CASES, MAX_STEPS, |steps| {
        let mut simulation = Simulation::new(sabotage);
        steps.iter().try_for_each(|it| simulation.step(it))
    })
}

#[test]
fn crashed_upstreams_are_bounded_and_no_innocent_request_is_refused() {
    fuzz(None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    for sabotage in [
        Sabotage::QuarantineOnlyAlone,
        Sabotage::RunSuspectsAlone,
        Sabotage::RefuseOutdatedSubmit,
        Sabotage::MergeStrikes,
        Sabotage::ClearCompleted,
    ] {
        fuzz_support::assert_detected(sabotage, fuzz(Some(sabotage)));
    }
}
