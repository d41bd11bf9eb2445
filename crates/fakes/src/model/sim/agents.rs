//! Event handlers for attempts at their agents and for changes of the fleet.

use rand::RngExt;
use yuccatrail_core::{
    capacity::CallEnd,
    outcome::{Reason, Usage},
};

use crate::model::{
    US_PER_MS, US_PER_S,
    agent::NotRun,
    entry::Entry,
    scenario::Change,
    sim::{
        Event, LOAD_REPORT_INTERVAL_US, MAX_DURATION_DEVIATION, MAX_NOTICE_DELAY_US,
        PROBE_INTERVAL_US, ReplyKind, Sim, State,
    },
    upstream::StartResult,
};

impl Sim<'_> {
    pub(super) fn on_deliver(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if attempt.replied {
            return;
        }
        let agent = attempt.upstream;
        let out_since_us = self.out_since_us[self.agents[agent].data_centre];
        let is_out = out_since_us.is_some_and(|it| self.now_us > it + MAX_NOTICE_DELAY_US);
        match self.agents[agent].push(self.now_us, attempt.submission) {
            Ok(evicted) => {
                self.outcome.taken_while_out += u64::from(is_out);
                self.reply_not_run(evicted);
                self.dispatch_queued(agent);
            }
            Err(reason) => self.reply_not_run(vec![(index, reason)]),
        }
    }

    pub(super) fn reply(&mut self, index: usize, reply: ReplyKind) {
        let load = self.agents[self.attempts[index].upstream].load();
        self.attempts[index].load = Some(load);
        let delay_us = self.delay_us(index);
        self.schedule_after(delay_us, Event::Reply(index, reply));
    }

    pub(super) fn reply_not_run(&mut self, not_run: NotRun) {
        for (attempt, _) in not_run {
            self.attempts[attempt].state = State::Ended(Usage::default());
            self.reply(attempt, ReplyKind::NotRun);
        }
    }

    /// Dispatches queued attempts of an agent until its limit is reached or the queue is empty.
    pub(super) fn dispatch_queued(&mut self, index: usize) {
        let expired = self.agents[index].expire(self.now_us);
        self.reply_not_run(expired);
        while let Some(dispatch) = self.agents[index].next(self.now_us) {
            let spec = &self.fleet.pools[self.agents[index].pool];
            let attempt = &self.attempts[dispatch.attempt];
            let request = &self.requests[attempt.request];
            let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
            let tokens = f64::from(stage.max_tokens) * request.token_fraction;
            let noise =
                1.0 + self.rng.random_range(-MAX_DURATION_DEVIATION..MAX_DURATION_DEVIATION);
            let upstream = &mut self.agents[index].upstream;
            match upstream.start(self.now_us, dispatch.attempt, spec, tokens, noise) {
                StartResult::Started { run_us } => {
                    self.start_running(dispatch.attempt, dispatch.queued_ms);
                    self.schedule_after(run_us, Event::EngineDone(dispatch.attempt));
                }
                StartResult::Refused => {
                    self.agents[index].finish(self.now_us, dispatch.attempt, CallEnd::Abandoned);
                    self.agents[index].on_connect_failure(self.now_us);
                    self.reply_not_run(vec![(dispatch.attempt, Reason::UpstreamLost)]);
                }
                StartResult::Overloaded { lost } => {
                    self.outcome.fell_over += 1;
                    self.start_running(dispatch.attempt, dispatch.queued_ms);
                    self.on_calls_lost(index, &lost);
                }
            }
        }
        if let Some(at_us) = self.agents[index].next_expiry_us() {
            self.schedule_after(at_us.saturating_sub(self.now_us), Event::AgentTick(index));
        }
    }

    pub(super) fn start_running(&mut self, index: usize, queued_ms: u64) {
        let attempt = &mut self.attempts[index];
        attempt.state = State::Running { since_us: self.now_us, queued_ms };
        self.attempts_run += 1;
        let request = &mut self.requests[attempt.request];
        if request.stages_run <= attempt.stage {
            request.stages_run = attempt.stage + 1;
            self.stages_run += 1;
        }
    }

    /// Ends the calls that an upstream lost in a crash or restart.
    pub(super) fn on_calls_lost(&mut self, agent: usize, lost: &[usize]) {
        for &attempt in lost {
            self.agents[agent].finish(self.now_us, attempt, CallEnd::Abandoned);
            self.stop_running(attempt);
            self.reply(attempt, ReplyKind::Lost);
        }
        self.agents[agent].on_reset();
    }

    /// Ends a running attempt and returns its usage, or `None` if it was not running.
    pub(super) fn stop_running(&mut self, index: usize) -> Option<Usage> {
        let attempt = &mut self.attempts[index];
        let State::Running { since_us, queued_ms } = attempt.state else { return None };
        let request = &mut self.requests[attempt.request];
        let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
        let engine_ms = (self.now_us - since_us) / US_PER_MS;
        let tokens = (f64::from(stage.max_tokens) * request.token_fraction) as u64;
        let usage = Usage { engine_ms, queued_ms, tokens };
        attempt.state = State::Ended(usage);
        if request.ended {
            self.record_cost(
                self.attempts[index].request,
                self.attempts[index].stage,
                usage,
                false,
            );
        } else {
            request.attempt_costs.push((index, usage, false));
        }
        Some(usage)
    }

    pub(super) fn on_engine_done(&mut self, index: usize) {
        let agent = self.attempts[index].upstream;
        if !self.agents[agent].upstream.end(index) {
            return;
        }
        self.stop_running(index);
        self.agents[agent].finish(self.now_us, index, CallEnd::Completed);
        self.dispatch_queued(agent);
        self.reply(index, ReplyKind::Completed);
    }

    pub(super) fn on_cancel(&mut self, index: usize) {
        let agent = self.attempts[index].upstream;
        match self.attempts[index].state {
            State::Waiting if self.agents[agent].remove(index) => {
                self.reply_not_run(vec![(index, Reason::Cancelled)]);
            }
            State::Running { .. } => {
                self.agents[agent].upstream.end(index);
                self.stop_running(index);
                self.agents[agent].finish(self.now_us, index, CallEnd::Abandoned);
                self.reply(index, ReplyKind::Abandoned);
            }
            _ => {}
        }
        self.dispatch_queued(agent);
    }

    pub(super) fn on_probe(&mut self) {
        for agent in 0..self.agents.len() {
            self.agents[agent].probe(self.now_us);
            self.dispatch_queued(agent);
        }
        if !self.is_over() {
            self.schedule_after(PROBE_INTERVAL_US, Event::Probe);
        }
    }

    pub(super) fn on_sync(&mut self) {
        let now_ms = self.now_ms();
        for (index, agent) in self.agents.iter().enumerate() {
            for entry in &mut self.entries {
                entry.on_load(now_ms, agent.pool, index, agent.load());
            }
        }
        if self.now_us.is_multiple_of(US_PER_S) {
            self.entries.iter_mut().for_each(Entry::decay_estimates);
        }
        if !self.is_over() {
            self.schedule_after(LOAD_REPORT_INTERVAL_US, Event::Sync);
        }
    }

    pub(super) fn on_change(&mut self, change: Change) {
        match change {
            Change::Slow { pool, every, factor } => {
                let of_pool = self.agents.iter_mut().filter(|it| it.pool == pool);
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
                    self.on_calls_lost(index, &lost);
                }
            }
            Change::DataCentre { data_centre, out } => {
                self.out_since_us[data_centre] = out.then_some(self.now_us);
                for agent in 0..self.agents.len() {
                    if self.agents[agent].data_centre != data_centre {
                        continue;
                    }
                    let delay_us = self.rng.random_range(0..MAX_NOTICE_DELAY_US);
                    self.schedule_after(delay_us, Event::AgentOut(agent, out));
                    for entry in 0..self.entries.len() {
                        let delay_us = self.rng.random_range(0..MAX_NOTICE_DELAY_US);
                        self.schedule_after(delay_us, Event::EntryOut(entry, agent, out));
                    }
                }
            }
        }
    }

    pub(super) fn on_agent_out(&mut self, agent: usize, out: bool) {
        self.agents[agent].draining = out;
        if out {
            let drained = self.agents[agent].drain();
            self.reply_not_run(drained);
        }
    }
}
