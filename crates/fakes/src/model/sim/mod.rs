//! Event loop of the simulation, in virtual time.

mod agents;
mod requests;

use std::{cmp::Reverse, collections::BinaryHeap};

use derive_more::Display;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use yuccatrail_core::{
    accounting::CostLedger,
    admission::AdmissionKey,
    deadline::Plan,
    outcome::Usage,
    routing::{LoadReport, Policy},
};

use crate::model::{
    US_PER_MS, US_PER_S,
    agent::{Agent, Submission},
    entry::Entry,
    fleet::{Fleet, GENERATE, MIN_TOKEN_FRACTION, StageSpec},
    outcome::Outcome,
    scenario::Scenario,
};

/// Interval at which agents probe their upstreams.
const PROBE_INTERVAL_US: u64 = 250 * US_PER_MS;

/// Interval at which each agent reports its load to each entry.
const LOAD_REPORT_INTERVAL_US: u64 = 500 * US_PER_MS;

/// Delay after which an entry that found no eligible upstream chooses again.
const CHOICE_RETRY_US: u64 = 20 * US_PER_MS;

/// Longest delay until a process learns that a data centre was taken out or returned.
const MAX_NOTICE_DELAY_US: u64 = 2 * US_PER_S;

/// Most attempts for one stage of a request.
const MAX_ATTEMPTS: usize = 4;

/// Largest deviation of a call's duration from its mean, as a fraction of the mean.
const MAX_DURATION_DEVIATION: f64 = 0.2;

/// One-way delay of a message within a data centre.
const LOCAL_HOP_US: u64 = 200;

/// Policies that a run uses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Mode {
    /// All policies of the core.
    #[display("policy")]
    Managed,
    /// The policies of the core, but with random routing.
    #[display("random")]
    ManagedRandom,
    /// The policies of the core, but with round-robin routing.
    #[display("in turn")]
    ManagedRoundRobin,
    /// Random routing, FIFO queues and fixed concurrency limits, without admission control.
    #[display("baseline")]
    Baseline,
}

impl Mode {
    pub(crate) fn routing(self) -> Policy {
        match self {
            Self::Managed => Policy::PowerOfTwo,
            Self::ManagedRandom | Self::Baseline => Policy::Random,
            Self::ManagedRoundRobin => Policy::RoundRobin,
        }
    }
}

/// An event; requests, attempts, agents and entries are identified by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request arrives.
    Arrive,
    /// An attempt reaches its agent.
    Deliver(usize),
    /// The upstream completes an attempt.
    EngineDone(usize),
    /// The reply to an attempt reaches its entry.
    Reply(usize, ReplyKind),
    /// The cancellation of an attempt reaches its agent.
    Cancel(usize),
    /// The entry chooses an upstream again for a request and its stage.
    RetryChoice(usize, usize),
    /// The entry decides again whether to hedge an attempt.
    Hedge(usize),
    /// The deadline of a request expires.
    Deadline(usize),
    /// The next queue entry of an agent expires.
    AgentTick(usize),
    /// All agents probe their upstreams.
    Probe,
    /// All agents report their load to all entries.
    Sync,
    /// A change of the scenario takes place.
    Change(usize),
    /// An agent learns whether its data centre is out.
    AgentOut(usize, bool),
    /// An entry learns whether the data centre of an agent is out.
    EntryOut(usize, usize, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplyKind {
    Completed,
    /// The attempt left the agent without having run.
    NotRun,
    /// The attempt was cancelled while it ran.
    Abandoned,
    /// The upstream crashed or restarted while the attempt ran.
    Lost,
}

struct Request {
    customer: usize,
    pipeline: usize,
    entry: usize,
    arrived_us: u64,
    deadline_us: u64,
    token_fraction: f64,
    admission: Option<AdmissionKey>,
    plan: Option<Plan>,
    stage: usize,
    /// Attempts for the current stage.
    attempts: Vec<usize>,
    /// Usage of the attempts that ended, and whether the request used their results.
    attempt_costs: Vec<(usize, Usage, bool)>,
    /// Number of stages for which at least one attempt ran.
    stages_run: usize,
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// On the way to the agent, or in its queue.
    Waiting,
    Running {
        since_us: u64,
        queued_ms: u64,
    },
    Ended(Usage),
}

struct Attempt {
    request: usize,
    stage: usize,
    upstream: usize,
    sent_us: u64,
    expected_ms: u64,
    submission: Submission,
    state: State,
    /// Load of the agent when it sent the reply.
    load: Option<LoadReport>,
    replied: bool,
    hedge: bool,
}

struct Sim<'a> {
    fleet: &'a Fleet,
    scenario: &'a Scenario,
    mode: Mode,
    /// Random numbers for the arrivals alone, so that all modes get the same arrivals.
    arrivals: StdRng,
    rng: StdRng,
    now_us: u64,
    /// Number of scheduled events; orders events that are due at the same time.
    sequence: u64,
    /// Due times in microseconds, sequence numbers and events; the earliest event comes first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Times at which the data centres that are out were taken out, by data centre.
    out_since_us: Vec<Option<u64>>,
    ledger: CostLedger,
    outcome: Outcome,
    latencies_ms: Vec<u64>,
    /// Work of generate stages in requests completed on time, for `goodput_part`.
    on_time_work_ms: f64,
    stages_run: u64,
    attempts_run: u64,
}

/// Runs a scenario until no events are left.
pub fn run(fleet: &Fleet, scenario: &Scenario, mode: Mode, seed: u64) -> Outcome {
    let mut sim = Sim::new(fleet, scenario, mode, seed);
    while let Some(Reverse((at_us, _, event))) = sim.events.pop() {
        sim.now_us = at_us;
        sim.handle(event);
    }
    sim.finish()
}

impl<'a> Sim<'a> {
    fn new(fleet: &'a Fleet, scenario: &'a Scenario, mode: Mode, seed: u64) -> Self {
        let mut upstreams = Vec::new();
        let mut agents = Vec::new();
        for (pool, spec) in fleet.pools.iter().enumerate() {
            for position in 0..spec.upstreams {
                let data_centre = fleet.data_centre(position);
                upstreams.push((pool, data_centre));
                agents.push(Agent::new(mode, pool, data_centre, spec, fleet));
            }
        }
        let entry = |data_centre| Entry::new(mode, data_centre, fleet, &upstreams);
        let entries = (0..fleet.data_centres).map(entry).collect();
        let mut sim = Self {
            fleet,
            scenario,
            mode,
            arrivals: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(!seed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            entries,
            agents,
            requests: Vec::new(),
            attempts: Vec::new(),
            out_since_us: vec![None; fleet.data_centres],
            ledger: CostLedger::new(),
            outcome: Outcome::default(),
            latencies_ms: Vec::new(),
            on_time_work_ms: 0.0,
            stages_run: 0,
            attempts_run: 0,
        };
        sim.schedule_after(0, Event::Probe);
        sim.schedule_after(0, Event::Sync);
        sim.schedule_after(0, Event::Arrive);
        for (index, (at_s, _)) in scenario.changes.iter().enumerate() {
            sim.schedule_after(at_s * US_PER_S, Event::Change(index));
        }
        sim
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.on_arrive(),
            Event::Deliver(attempt) => self.on_deliver(attempt),
            Event::EngineDone(attempt) => self.on_engine_done(attempt),
            Event::Reply(attempt, reply) => self.on_reply(attempt, reply),
            Event::Cancel(attempt) => self.on_cancel(attempt),
            Event::RetryChoice(request, stage) => {
                if !self.requests[request].ended && self.requests[request].stage == stage {
                    self.send(request, false);
                }
            }
            Event::Hedge(attempt) => self.consider_hedge(attempt),
            Event::Deadline(request) => self.on_deadline(request),
            Event::AgentTick(agent) => self.dispatch_queued(agent),
            Event::Probe => self.on_probe(),
            Event::Sync => self.on_sync(),
            Event::Change(index) => self.on_change(self.scenario.changes[index].1),
            Event::AgentOut(agent, out) => self.on_agent_out(agent, out),
            Event::EntryOut(entry, agent, out) => {
                let pool = self.agents[agent].pool;
                self.entries[entry].set_withdrawn(pool, agent, out);
            }
        }
    }

    fn is_over(&self) -> bool {
        self.now_us > self.scenario.end_us() + 30 * US_PER_S
    }

    fn is_measured(&self, at_us: u64) -> bool {
        let (from_s, until_s) = self.scenario.measured_s;
        (from_s * US_PER_S..until_s * US_PER_S).contains(&at_us)
    }

    fn on_arrive(&mut self) {
        if self.now_us >= self.scenario.end_us() {
            return;
        }
        let load = self.scenario.load_at(self.now_us);
        let rate_per_s = load * self.fleet.capacity_per_s();
        let uniform: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let gap_us = -uniform.ln() / rate_per_s * US_PER_S as f64;
        self.schedule_after(gap_us as u64, Event::Arrive);

        let customers = 0..self.fleet.customers.len();
        let fractions = customers
            .map(|it| self.scenario.arrival_fraction(self.fleet, it, load))
            .collect::<Vec<_>>();
        let customer = self.draw(&fractions);
        let fractions: Vec<f64> =
            self.fleet.pipelines.iter().map(|it| it.arrival_fraction).collect();
        let pipeline = self.draw(&fractions);
        let open = |it: &usize| self.out_since_us[*it].is_none();
        let open: Vec<usize> = (0..self.entries.len()).filter(open).collect();
        let entry = open[self.rng.random_range(0..open.len())];

        let deadline_ms = self.fleet.pipelines[pipeline].deadline_ms;
        self.requests.push(Request {
            customer,
            pipeline,
            entry,
            arrived_us: self.now_us,
            deadline_us: self.now_us + deadline_ms * US_PER_MS,
            token_fraction: self.arrivals.random_range(MIN_TOKEN_FRACTION..1.0),
            admission: None,
            plan: None,
            stage: 0,
            attempts: Vec::new(),
            attempt_costs: Vec::new(),
            stages_run: 0,
            ended: false,
        });
        self.admit(self.requests.len() - 1);
    }

    /// Draws an index with a probability in proportion to its fraction.
    fn draw(&mut self, fractions: &[f64]) -> usize {
        let mut left = self.arrivals.random_range(0.0..fractions.iter().sum());
        for (position, fraction) in fractions.iter().enumerate() {
            if left < *fraction {
                return position;
            }
            left -= fraction;
        }
        fractions.len() - 1
    }

    fn admit(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if self.mode != Mode::Baseline {
            let stages = &self.fleet.pipelines[request.pipeline].stages;
            let now_ms = self.now_us / US_PER_MS;
            let deadline_ms = request.deadline_us / US_PER_MS;
            let entry = &mut self.entries[request.entry];
            match entry.admit(now_ms, request.customer, deadline_ms, stages) {
                Ok(admitted) => {
                    request.admission = Some(admitted.key);
                    request.plan = Some(admitted.plan);
                }
                Err(refusal) => {
                    self.end_request(index, false, Some(refusal.reason));
                    return;
                }
            }
        }
        let deadline_us = self.requests[index].deadline_us;
        self.schedule_after(deadline_us - self.now_us, Event::Deadline(index));
        self.send(index, false);
    }

    fn stage(&self, request: &Request) -> StageSpec {
        self.fleet.pipelines[request.pipeline].stages[request.stage]
    }

    fn delay_us(&self, attempt: usize) -> u64 {
        let attempt = &self.attempts[attempt];
        let entry = &self.entries[self.requests[attempt.request].entry];
        let is_local = entry.data_centre == self.agents[attempt.upstream].data_centre;
        if is_local { LOCAL_HOP_US } else { self.fleet.hop_us }
    }

    fn finish(mut self) -> Outcome {
        let (from_s, until_s) = self.scenario.measured_s;
        let available_ms = self.fleet.slots(GENERATE) * ((until_s - from_s) * 1_000) as f64;
        self.outcome.goodput_part = self.on_time_work_ms / available_ms;
        self.outcome.load_factor = self.attempts_run as f64 / self.stages_run.max(1) as f64;
        self.outcome.lost = self.requests.iter().filter(|it| !it.ended).count() as u64;
        self.latencies_ms.sort_unstable();
        let quantile = |percent| {
            let position = self.latencies_ms.len() * percent / 100;
            self.latencies_ms.get(position).copied().unwrap_or(0)
        };
        self.outcome.p50_ms = quantile(50);
        self.outcome.p99_ms = quantile(99);
        self.outcome.set_cost(&self.ledger);
        self.outcome
    }
}
