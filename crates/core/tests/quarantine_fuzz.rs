//! Fuzz of the quarantine: lost upstreams are bounded and no innocent request is refused.

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
const POISONOUS: u8 = 2;
const MAX_STEPS: usize = 80;
const CASES: u32 = 1500;

#[derive(Clone, Debug)]
enum Step {
    Send { request: u8, entry: usize, agent: usize },
    Complete { agent: usize, index: usize },
    Stop { agent: usize },
    Gossip { from: usize, to: usize },
    Advance { ms: u64 },
}

struct Machine;

impl ReferenceStateMachine for Machine {
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
            2 => (0..AGENTS).prop_map(|agent| Step::Stop { agent }),
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
    alone: bool,
}

/// Entries come first among the processes, agents after them.
struct World {
    processes: Vec<Quarantine>,
    trackers: Vec<SuspectTracker>,
    upstreams: Vec<Vec<Running>>,
    stops: [u32; AGENTS],
    now_ms: u64,
    /// Requests that each process has been told of, as the oracle sees it.
    told: Vec<BTreeSet<u8>>,
    /// Copies of each request dispatched by processes that had not been told of it.
    untold: BTreeMap<u8, u32>,
    lost: BTreeMap<u8, u32>,
    /// Innocent requests that ran alone when an upstream stopped by itself.
    unlucky: BTreeSet<u8>,
}

fn fingerprint(request: u8) -> Digest {
    Digest([request; 32])
}

fn agent_run(agent: usize) -> Incarnation {
    Incarnation(agent as u64)
}

impl World {
    fn new(sabotage: Option<Sabotage>) -> Self {
        let quarantine = fuzz_support::construct!(sabotage, Quarantine(LIMITS));
        Self {
            processes: vec![quarantine; PROCESSES],
            trackers: vec![SuspectTracker::new(); ENTRIES],
            upstreams: vec![Vec::new(); AGENTS],
            stops: [0; AGENTS],
            now_ms: 0,
            told: vec![BTreeSet::new(); PROCESSES],
            untold: BTreeMap::new(),
            lost: BTreeMap::new(),
            unlucky: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Send { request, entry, agent } => self.send(request, entry, agent),
            Step::Complete { agent, index } => self.complete(agent, index),
            Step::Stop { agent } => self.stop(agent),
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
        let mut candidates: Vec<_> = (0..AGENTS).map(agent_run).collect();
        candidates.rotate_left(entry);
        let agent = match exclusive_upstream(fingerprint(request), &candidates) {
            Some(run) if at_entry == Admission::Exclusive => run.0 as usize,
            _ => agent,
        };
        let told = [entry, ENTRIES + agent].iter().any(|&it| self.told[it].contains(&request));
        if at_entry == Admission::Exclusive {
            self.tell(ENTRIES + agent, request);
        }
        let process = &mut self.processes[ENTRIES + agent];
        let admission = process.admit_submit(fingerprint(request), &strikes, self.now_ms);
        if let Some(admission) = admission {
            self.check_refusal(request, admission)?;
        }
        let alone = admission == Some(Admission::Exclusive);
        let upstream = &mut self.upstreams[agent];
        let is_free = if alone { upstream.is_empty() } else { !upstream.iter().any(|it| it.alone) };
        if matches!(admission, None | Some(Admission::Refused)) || !is_free {
            self.trackers[entry].finish(fingerprint(request));
            self.gossip(ENTRIES + agent, entry);
            return Ok(());
        }
        upstream.push(Running { request, entry, alone });
        *self.untold.entry(request).or_default() += u32::from(!told);
        Ok(())
    }

    fn complete(&mut self, agent: usize, index: usize) -> Result<(), String> {
        let Some(&Running { request, entry, .. }) = self.upstreams[agent].get(index) else {
            return Ok(());
        };
        if request < POISONOUS {
            return Ok(());
        }
        self.upstreams[agent].remove(index);
        self.trackers[entry].finish(fingerprint(request));
        self.processes[ENTRIES + agent].on_complete(fingerprint(request));
        self.gossip(ENTRIES + agent, entry);
        let admission = self.processes[ENTRIES + agent].admit(fingerprint(request), self.now_ms);
        if admission != Admission::Normal {
            return Err(format!("request {request} completed and is still {admission:?}"));
        }
        Ok(())
    }

    fn stop(&mut self, agent: usize) -> Result<(), String> {
        let ended = std::mem::take(&mut self.upstreams[agent]);
        let requests: BTreeSet<u8> = ended.iter().map(|it| it.request).collect();
        let fingerprints: Vec<_> = ended.iter().map(|it| fingerprint(it.request)).collect();
        self.stops[agent] += 1;
        let number = self.stops[agent];
        let process = &mut self.processes[ENTRIES + agent];
        process.on_crash(agent_run(agent), number, &fingerprints, self.now_ms);
        if requests.len() == 1 {
            self.unlucky.extend(&requests);
        }
        for &request in &requests {
            self.tell(ENTRIES + agent, request);
            *self.lost.entry(request).or_default() += 1;
        }
        for running in ended {
            self.trackers[running.entry].finish(fingerprint(running.request));
            self.gossip(ENTRIES + agent, running.entry);
        }
        self.check_lost()
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let strikes = self.processes[from].recent_strikes(self.now_ms);
        self.processes[to].merge(&strikes, self.now_ms);
        let told = self.told[from].clone();
        self.told[to].extend(told);
    }

    fn tell(&mut self, process: usize, request: u8) {
        self.told[process].insert(request);
    }

    fn check_refusal(&self, request: u8, admission: Admission) -> Result<(), String> {
        let is_innocent = request >= POISONOUS && !self.unlucky.contains(&request);
        if admission == Admission::Refused && is_innocent {
            return Err(format!("innocent request {request} was refused"));
        }
        Ok(())
    }

    fn check_lost(&self) -> Result<(), String> {
        for request in 0..POISONOUS {
            let lost = self.lost.get(&request).copied().unwrap_or_default();
            let bound = self.untold.get(&request).copied().unwrap_or_default() + 1;
            if lost > bound {
                return Err(format!("request {request} took {lost} upstreams, bound {bound}"));
            }
        }
        Ok(())
    }
}

/// Strikes that reach a process in any order and any number of times.
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
                agent: agent_run(agent),
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
fn merging_strikes_in_any_order_and_again_gives_the_same() {
    fuzz_support::run::<Strikes>(CASES, MAX_STEPS, |strikes| {
        let expected = merged(strikes);
        let reversed: Vec<_> = strikes.iter().rev().copied().collect();
        let repeated = [strikes, &reversed].concat();
        for other in [reversed, repeated] {
            if merged(&other) != expected {
                return Err(format!("{other:?} merged differently"));
            }
        }
        Ok(())
    })
    .unwrap();
}

fn fuzz(sabotage: Option<Sabotage>) -> Result<(), String> {
    fuzz_support::run::<Machine>(CASES, MAX_STEPS, |steps| {
        let mut world = World::new(sabotage);
        steps.iter().try_for_each(|it| world.step(it))
    })
}

#[test]
fn losses_are_bounded_and_no_innocent_request_is_refused() {
    fuzz(None).unwrap();
}

#[cfg(feature = "sabotage")]
#[test]
fn missing_mechanisms_are_noticed() {
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
