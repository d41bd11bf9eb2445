//! Event loop in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use derive_more::Display;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use yuccatrail_core::{
    accounting::{CostLedger, StageLabel, Worth},
    admission::AdmissionKey,
    capacity::CallEnd,
    deadline::Plan,
    hedge::{HedgeDecision, HedgeQuery},
    ids::StageIndex,
    outcome::{Reason, Usage},
    routing::{AttemptEnd, LoadReport},
};

use crate::model::{
    US_PER_MS, US_PER_S,
    agent::{Agent, NotRun, Submission},
    entry::{Completed, Entry},
    fleet::{Fleet, GENERATE, MIN_TOKEN_PART, StageSpec},
    outcome::Outcome,
    scenario::{Change, Scenario},
    upstream::Start,
};

/// Time between two probes of an upstream.
const PROBE_US: u64 = 250 * US_PER_MS;

/// Time between two load reports from each agent to each entry.
const SYNC_US: u64 = 500 * US_PER_MS;

/// Time after which an entry without a choice tries again.
const RECHOOSE_US: u64 = 20 * US_PER_MS;

/// Longest time that a process takes to learn that a data centre is out.
const NOTICE_US: u64 = 2 * US_PER_S;

/// Attempts of one stage.
const MAX_ATTEMPTS: usize = 4;

/// Longest part by which the duration of a call deviates from the usual one.
const NOISE: f64 = 0.2;

/// Time between processes of one data centre.
const LOCAL_HOP_US: u64 = 200;

/// Whether the decisions are the project's or plain ones.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Mode {
    /// The decisions of the core.
    #[display("policy")]
    Managed,
    /// Random choice, first come first served, no admission, no ramp.
    #[display("baseline")]
    Baseline,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Deliver(usize),
    EngineDone(usize),
    Reply(usize, Answer),
    Cancel(usize),
    Rechoose(usize, usize),
    Hedge(usize),
    Deadline(usize),
    AgentTick(usize),
    Probe,
    Sync,
    Change(usize),
    AgentOut(usize, bool),
    EntryOut(usize, usize, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Completed,
    NotRun,
    Abandoned,
    Lost,
}

struct Request {
    customer: usize,
    pipeline: usize,
    entry: usize,
    arrived_us: u64,
    deadline_us: u64,
    token_part: f64,
    admission: Option<AdmissionKey>,
    plan: Option<Plan>,
    stage: usize,
    /// Attempts of the current stage.
    attempts: Vec<usize>,
    /// Cost of the attempts that ended, with whether they served the answer.
    spent: Vec<(usize, Usage, bool)>,
    /// Whether any attempt may have run.
    ran: bool,
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running { since_us: u64, queued_ms: u64 },
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
    load: Option<LoadReport>,
    answered: bool,
    hedge: bool,
}

struct Sim<'a> {
    fleet: &'a Fleet,
    scenario: &'a Scenario,
    mode: Mode,
    rng: StdRng,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    out_since_us: Vec<Option<u64>>,
    ledger: CostLedger,
    outcome: Outcome,
    latencies_ms: Vec<u64>,
    on_time_work_ms: f64,
    stages_run: u64,
    attempts_run: u64,
}

/// Runs a scenario to its end.
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
            rng: StdRng::seed_from_u64(seed),
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
        sim.after(0, Event::Probe);
        sim.after(0, Event::Sync);
        sim.after(0, Event::Arrive);
        for (index, (at_s, _)) in scenario.changes.iter().enumerate() {
            sim.after(at_s * US_PER_S, Event::Change(index));
        }
        sim
    }

    fn now_ms(&self) -> u64 {
        self.now_us / US_PER_MS
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.on_arrive(),
            Event::Deliver(attempt) => self.on_deliver(attempt),
            Event::EngineDone(attempt) => self.on_engine_done(attempt),
            Event::Reply(attempt, answer) => self.on_reply(attempt, answer),
            Event::Cancel(attempt) => self.on_cancel(attempt),
            Event::Rechoose(request, stage) => {
                if !self.requests[request].ended && self.requests[request].stage == stage {
                    self.send(request, false);
                }
            }
            Event::Hedge(attempt) => self.consider_hedge(attempt),
            Event::Deadline(request) => self.on_deadline(request),
            Event::AgentTick(agent) => self.pump(agent),
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
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap_us = -uniform.ln() / rate_per_s * US_PER_S as f64;
        self.after(gap_us as u64, Event::Arrive);

        let customers = 0..self.fleet.customers.len();
        let parts =
            customers.map(|it| self.scenario.part(self.fleet, it, load)).collect::<Vec<_>>();
        let customer = self.draw(&parts);
        let parts: Vec<f64> = self.fleet.pipelines.iter().map(|it| it.part).collect();
        let pipeline = self.draw(&parts);
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
            token_part: self.rng.random_range(MIN_TOKEN_PART..1.0),
            admission: None,
            plan: None,
            stage: 0,
            attempts: Vec::new(),
            spent: Vec::new(),
            ran: false,
            ended: false,
        });
        self.admit(self.requests.len() - 1);
    }

    /// Draws a position with the given probabilities.
    fn draw(&mut self, parts: &[f64]) -> usize {
        let mut left = self.rng.random_range(0.0..parts.iter().sum());
        for (position, part) in parts.iter().enumerate() {
            if left < *part {
                return position;
            }
            left -= part;
        }
        parts.len() - 1
    }

    fn admit(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if self.mode == Mode::Managed {
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
                    self.end(index, false, Some(refusal.reason));
                    return;
                }
            }
        }
        let deadline_us = self.requests[index].deadline_us;
        self.after(deadline_us - self.now_us, Event::Deadline(index));
        self.send(index, false);
    }

    fn stage(&self, request: &Request) -> StageSpec {
        self.fleet.pipelines[request.pipeline].stages[request.stage]
    }

    /// Sends an attempt for the current stage of a request.
    fn send(&mut self, index: usize, hedge: bool) {
        let now_ms = self.now_ms();
        let request = &self.requests[index];
        let stage = self.stage(request);
        let fits = request.plan.as_ref().is_none_or(|it| it.fits(now_ms, request.stage));
        if !hedge && !fits {
            self.end(index, false, Some(Reason::DeadlineUnreachable));
            return;
        }
        let tried: Vec<usize> =
            request.attempts.iter().map(|it| self.attempts[*it].upstream).collect();
        let entry = &mut self.entries[request.entry];
        let Ok(upstream) = entry.choose(now_ms, stage, &tried, &mut self.rng) else {
            if !hedge {
                self.after(RECHOOSE_US, Event::Rechoose(index, self.requests[index].stage));
            }
            return;
        };

        entry.on_sent(now_ms, stage.pool, upstream);
        let finish_by_ms = match &request.plan {
            Some(plan) => plan.stages[request.stage].finish_by_ms,
            None => request.deadline_us / US_PER_MS,
        };
        let attempt = self.attempts.len();
        let submission = Submission {
            attempt,
            customer: request.customer,
            deadline_ms: finish_by_ms,
            estimate_ms: entry.safe_ms(stage),
        };
        self.attempts.push(Attempt {
            request: index,
            stage: request.stage,
            upstream,
            sent_us: self.now_us,
            expected_ms: entry.expected_ms(stage),
            submission,
            state: State::Waiting,
            load: None,
            answered: false,
            hedge,
        });
        if let (Some(key), true) = (request.admission, request.attempts.is_empty()) {
            entry.admission().on_stage_sent(key);
        }
        self.requests[index].attempts.push(attempt);
        let delay_us = self.delay_us(attempt);
        self.after(delay_us, Event::Deliver(attempt));
        if self.mode == Mode::Managed && !hedge {
            self.consider_hedge(attempt);
        }
    }

    fn delay_us(&self, attempt: usize) -> u64 {
        let attempt = &self.attempts[attempt];
        let entry = &self.entries[self.requests[attempt.request].entry];
        let is_local = entry.data_centre == self.agents[attempt.upstream].data_centre;
        if is_local { LOCAL_HOP_US } else { self.fleet.hop_us }
    }

    fn consider_hedge(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        let request = &self.requests[attempt.request];
        if request.ended || request.stage != attempt.stage || attempt.answered {
            return;
        }
        let stage = self.stage(request);
        let live = request.attempts.iter().filter(|it| !self.attempts[**it].answered).count();
        let query = HedgeQuery {
            idempotent: stage.idempotent,
            hedged: live > 1 || attempt.hedge,
            sent_ms: attempt.sent_us / US_PER_MS,
            expected_ms: attempt.expected_ms,
            finish_by_ms: attempt.submission.deadline_ms,
            other_has_room: false,
        };
        let tried: Vec<usize> =
            request.attempts.iter().map(|it| self.attempts[*it].upstream).collect();
        let (now_ms, request, entry) = (self.now_ms(), attempt.request, request.entry);
        match self.entries[entry].hedge(now_ms, stage.pool, &tried, query) {
            HedgeDecision::Hedge => self.send(request, true),
            HedgeDecision::WaitUntil(at_ms) => {
                let delay_us = (at_ms * US_PER_MS).saturating_sub(self.now_us);
                self.after(delay_us, Event::Hedge(index));
            }
            HedgeDecision::No(_) => {}
        }
    }

    fn on_deliver(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if attempt.answered {
            return;
        }
        let agent = attempt.upstream;
        let out_since_us = self.out_since_us[self.agents[agent].data_centre];
        let is_out = out_since_us.is_some_and(|it| self.now_us > it + NOTICE_US);
        match self.agents[agent].push(self.now_us, attempt.submission) {
            Ok(evicted) => {
                self.outcome.taken_while_out += u64::from(is_out);
                self.answer_not_run(evicted);
                self.pump(agent);
            }
            Err(reason) => self.answer_not_run(vec![(index, reason)]),
        }
    }

    fn answer(&mut self, index: usize, answer: Answer) {
        let load = self.agents[self.attempts[index].upstream].load();
        self.attempts[index].load = Some(load);
        let delay_us = self.delay_us(index);
        self.after(delay_us, Event::Reply(index, answer));
    }

    fn answer_not_run(&mut self, not_run: NotRun) {
        for (attempt, _) in not_run {
            self.attempts[attempt].state = State::Ended(Usage::default());
            self.answer(attempt, Answer::NotRun);
        }
    }

    /// Lets an agent start what it may.
    fn pump(&mut self, index: usize) {
        let expired = self.agents[index].expire(self.now_us);
        self.answer_not_run(expired);
        while let Some(dispatch) = self.agents[index].next(self.now_us) {
            let spec = &self.fleet.pools[self.agents[index].pool];
            let attempt = &self.attempts[dispatch.attempt];
            let request = &self.requests[attempt.request];
            let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
            let tokens = f64::from(stage.max_tokens) * request.token_part;
            let noise = 1.0 + self.rng.random_range(-NOISE..NOISE);
            let upstream = &mut self.agents[index].upstream;
            match upstream.start(self.now_us, dispatch.attempt, spec, tokens, noise) {
                Start::Runs { run_us } => {
                    self.start_running(dispatch.attempt, dispatch.queued_ms);
                    self.after(run_us, Event::EngineDone(dispatch.attempt));
                }
                Start::Refused => {
                    self.agents[index].finish(self.now_us, dispatch.attempt, CallEnd::Abandoned);
                    self.agents[index].on_connect_failure(self.now_us);
                    self.answer_not_run(vec![(dispatch.attempt, Reason::UpstreamLost)]);
                }
                Start::FellOver { lost } => {
                    self.outcome.fell_over += 1;
                    self.start_running(dispatch.attempt, dispatch.queued_ms);
                    self.lose(index, &lost);
                }
            }
        }
        if let Some(at_us) = self.agents[index].next_expiry_us() {
            self.after(at_us.saturating_sub(self.now_us), Event::AgentTick(index));
        }
    }

    fn start_running(&mut self, index: usize, queued_ms: u64) {
        let attempt = &mut self.attempts[index];
        attempt.state = State::Running { since_us: self.now_us, queued_ms };
        self.attempts_run += 1;
        let request = &mut self.requests[attempt.request];
        request.ran = true;
        let others = request.attempts.iter().filter(|it| **it != index);
        let is_first = others.into_iter().all(|it| self.attempts[*it].state == State::Waiting)
            || self.requests[self.attempts[index].request].attempts.len() == 1;
        self.stages_run += u64::from(is_first);
    }

    /// Notes that the calls of an upstream are lost.
    fn lose(&mut self, agent: usize, lost: &[usize]) {
        for &attempt in lost {
            self.agents[agent].finish(self.now_us, attempt, CallEnd::Abandoned);
            self.stop_running(attempt);
            self.answer(attempt, Answer::Lost);
        }
        self.agents[agent].on_reset();
    }

    /// Ends a running attempt and returns what it consumed.
    fn stop_running(&mut self, index: usize) -> Option<Usage> {
        let attempt = &mut self.attempts[index];
        let State::Running { since_us, queued_ms } = attempt.state else { return None };
        let request = &mut self.requests[attempt.request];
        let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
        let engine_ms = (self.now_us - since_us) / US_PER_MS;
        let tokens = (f64::from(stage.max_tokens) * request.token_part) as u64;
        let usage = Usage { engine_ms, queued_ms, tokens };
        attempt.state = State::Ended(usage);
        if request.ended {
            self.charge(self.attempts[index].request, self.attempts[index].stage, usage, false);
        } else {
            request.spent.push((index, usage, false));
        }
        Some(usage)
    }

    fn on_engine_done(&mut self, index: usize) {
        let agent = self.attempts[index].upstream;
        if !self.agents[agent].upstream.end(index) {
            return;
        }
        self.stop_running(index);
        self.agents[agent].finish(self.now_us, index, CallEnd::Completed);
        self.pump(agent);
        self.answer(index, Answer::Completed);
    }

    fn on_reply(&mut self, index: usize, answer: Answer) {
        let now_ms = self.now_ms();
        let attempt = &mut self.attempts[index];
        if attempt.answered {
            return;
        }
        attempt.answered = true;
        let request = &self.requests[attempt.request];
        let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
        let entry = &mut self.entries[request.entry];
        if let Some(load) = attempt.load {
            entry.on_load(now_ms, stage.pool, attempt.upstream, load);
        }
        match (answer, attempt.state) {
            (Answer::Completed, State::Ended(usage)) => {
                let latency_ms = (self.now_us - attempt.sent_us) / US_PER_MS;
                let (upstream, expected_ms) = (attempt.upstream, attempt.expected_ms);
                let completed = Completed { upstream, stage, expected_ms, latency_ms, usage };
                entry.on_completed(now_ms, completed);
                self.advance(index);
            }
            (Answer::Lost, _) => {
                entry.on_end(now_ms, stage.pool, attempt.upstream, AttemptEnd::Failed);
                self.retry(index, true);
            }
            (Answer::Abandoned, State::Ended(usage)) => {
                let ratio = usage.engine_ms as f64 / attempt.expected_ms.max(1) as f64;
                let end = AttemptEnd::Abandoned { ratio };
                entry.on_end(now_ms, stage.pool, attempt.upstream, end);
            }
            _ => {
                entry.on_end(now_ms, stage.pool, attempt.upstream, AttemptEnd::NotRun);
                self.retry(index, false);
            }
        }
    }

    /// Goes on with the next stage of a request, or answers it.
    fn advance(&mut self, index: usize) {
        let (request_index, stage) = (self.attempts[index].request, self.attempts[index].stage);
        let request = &mut self.requests[request_index];
        if request.ended || request.stage != stage {
            return;
        }
        for spent in request.spent.iter_mut().filter(|it| it.0 == index) {
            spent.2 = true;
        }
        request.stage += 1;
        let losers = std::mem::take(&mut request.attempts);
        let is_last = request.stage == self.fleet.pipelines[request.pipeline].stages.len();
        self.cancel(&losers);
        if is_last {
            let on_time = self.now_us <= self.requests[request_index].deadline_us;
            self.end(request_index, on_time, None);
        } else {
            self.send(request_index, false);
        }
    }

    fn retry(&mut self, index: usize, lost: bool) {
        let attempt = &self.attempts[index];
        let request = &self.requests[attempt.request];
        if request.ended || request.stage != attempt.stage {
            return;
        }
        if request.attempts.iter().any(|it| !self.attempts[*it].answered) {
            return;
        }

        let stage = self.stage(request);
        let (request_index, entry) = (attempt.request, request.entry);
        let tries_left = request.attempts.len() < MAX_ATTEMPTS;
        let may_repeat = !lost || (stage.idempotent && self.entries[entry].may_retry(stage.pool));
        if tries_left && may_repeat {
            self.send(request_index, false);
            return;
        }
        let reason = if lost { Reason::UpstreamLost } else { Reason::Busy };
        self.end(request_index, false, Some(reason));
    }

    fn on_deadline(&mut self, index: usize) {
        if !self.requests[index].ended {
            self.end(index, false, Some(Reason::DeadlineExpired));
        }
    }

    fn cancel(&mut self, attempts: &[usize]) {
        if self.mode == Mode::Baseline {
            return;
        }
        for &attempt in attempts {
            if self.attempts[attempt].answered {
                continue;
            }
            let delay_us = self.delay_us(attempt);
            self.after(delay_us, Event::Cancel(attempt));
        }
    }

    fn on_cancel(&mut self, index: usize) {
        let agent = self.attempts[index].upstream;
        match self.attempts[index].state {
            State::Waiting if self.agents[agent].remove(index) => {
                self.answer_not_run(vec![(index, Reason::Cancelled)]);
            }
            State::Running { .. } => {
                self.agents[agent].upstream.end(index);
                self.stop_running(index);
                self.agents[agent].finish(self.now_us, index, CallEnd::Abandoned);
                self.answer(index, Answer::Abandoned);
            }
            _ => {}
        }
        self.pump(agent);
    }

    /// Ends a request and counts it.
    fn end(&mut self, index: usize, on_time: bool, reason: Option<Reason>) {
        let live = std::mem::take(&mut self.requests[index].attempts);
        self.cancel(&live);
        let request = &mut self.requests[index];
        request.ended = true;
        let accepted = self.mode == Mode::Baseline || request.admission.is_some();
        if let Some(key) = request.admission {
            self.entries[request.entry].admission().finish(key);
        }
        let spent = std::mem::take(&mut request.spent);
        for (attempt, usage, used) in spent {
            self.charge(index, self.attempts[attempt].stage, usage, used && on_time);
        }

        let request = &self.requests[index];
        let pipeline = &self.fleet.pipelines[request.pipeline];
        if on_time && self.is_measured(self.now_us) {
            for stage in pipeline.stages.iter().filter(|it| it.pool == GENERATE) {
                let tokens = f64::from(stage.max_tokens) * request.token_part;
                self.on_time_work_ms += self.fleet.pools[GENERATE].full_run_ms(tokens);
            }
        }
        if !self.is_measured(request.arrived_us) {
            return;
        }
        if on_time {
            self.latencies_ms.push((self.now_us - request.arrived_us) / US_PER_MS);
        }
        if let Some(reason) = reason {
            let kind = if accepted { "given up" } else { "refused" };
            *self.outcome.reasons.entry(format!("{kind}: {reason}")).or_default() += 1;
        }
        let customer = self.fleet.customers[request.customer].name;
        let outcome = &mut self.outcome;
        for counts in [
            &mut outcome.all,
            outcome.customers.entry(customer).or_default(),
            outcome.pipelines.entry(pipeline.name).or_default(),
        ] {
            counts.offered += 1;
            counts.accepted += u64::from(accepted);
            counts.on_time += u64::from(on_time);
        }
    }

    fn charge(&mut self, request: usize, stage: usize, usage: Usage, used: bool) {
        let request = &self.requests[request];
        let label = StageLabel {
            pipeline: self.fleet.pipelines[request.pipeline].name.to_owned(),
            customer: self.fleet.customers[request.customer].name.to_owned(),
            stage: StageIndex(stage as u8),
        };
        let worth = if used { Worth::Used } else { Worth::Wasted };
        self.ledger.on_attempt(&label, usage, worth);
    }

    fn on_probe(&mut self) {
        for agent in 0..self.agents.len() {
            self.agents[agent].probe(self.now_us);
            self.pump(agent);
        }
        if !self.is_over() {
            self.after(PROBE_US, Event::Probe);
        }
    }

    fn on_sync(&mut self) {
        let now_ms = self.now_ms();
        for (index, agent) in self.agents.iter().enumerate() {
            for entry in &mut self.entries {
                entry.on_load(now_ms, agent.pool, index, agent.load());
            }
        }
        if !self.is_over() {
            self.after(SYNC_US, Event::Sync);
        }
    }

    fn on_change(&mut self, change: Change) {
        let pool_of = |agent: &Agent| agent.pool;
        match change {
            Change::Slow { pool, every, factor } => {
                let of_pool = self.agents.iter_mut().filter(|it| pool_of(it) == pool);
                for agent in of_pool.step_by(every) {
                    agent.upstream.slow_factor = factor;
                }
            }
            Change::Restart { pool } => {
                for index in 0..self.agents.len() {
                    if self.agents[index].pool != pool {
                        continue;
                    }
                    let lost = self.agents[index].upstream.restart(self.now_us);
                    self.lose(index, &lost);
                }
            }
            Change::DataCentre { data_centre, out } => {
                self.out_since_us[data_centre] = out.then_some(self.now_us);
                for agent in 0..self.agents.len() {
                    if self.agents[agent].data_centre != data_centre {
                        continue;
                    }
                    let delay_us = self.rng.random_range(0..NOTICE_US);
                    self.after(delay_us, Event::AgentOut(agent, out));
                    for entry in 0..self.entries.len() {
                        let delay_us = self.rng.random_range(0..NOTICE_US);
                        self.after(delay_us, Event::EntryOut(entry, agent, out));
                    }
                }
            }
        }
    }

    fn on_agent_out(&mut self, agent: usize, out: bool) {
        self.agents[agent].draining = out;
        if out {
            let drained = self.agents[agent].drain();
            self.answer_not_run(drained);
        }
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
