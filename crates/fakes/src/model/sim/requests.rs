//! Event handlers for requests at their entries.

use yuccatrail_core::{
    accounting::{StageLabel, WorkOutcome},
    hedge::{HedgeDecision, HedgeQuery},
    ids::StageIndex,
    outcome::{Reason, Usage},
    routing::AttemptEnd,
};

use crate::model::{
    US_PER_MS,
    agent::Submission,
    entry::Completed,
    fleet::GENERATE,
    sim::{Attempt, CHOICE_RETRY_US, Event, MAX_ATTEMPTS, Mode, ReplyKind, Sim, State},
};

impl Sim<'_> {
    /// Sends an attempt for the current stage of a request to an upstream that was not tried yet.
    pub(super) fn send(&mut self, index: usize, hedge: bool) {
        let now_ms = self.now_ms();
        let request = &self.requests[index];
        let stage = self.stage(request);
        let fits = request.plan.as_ref().is_none_or(|it| it.fits(now_ms, request.stage));
        if !hedge && !fits {
            self.end_request(index, false, Some(Reason::DeadlineUnreachable));
            return;
        }
        let tried: Vec<usize> =
            request.attempts.iter().map(|it| self.attempts[*it].upstream).collect();
        let entry = &mut self.entries[request.entry];
        let Ok(upstream) = entry.choose(now_ms, stage, &tried, &mut self.rng) else {
            if !hedge {
                self.schedule_after(
                    CHOICE_RETRY_US,
                    Event::RetryChoice(index, self.requests[index].stage),
                );
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
            estimate_ms: entry.conservative_ms(stage),
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
            replied: false,
            hedge,
        });
        if let (Some(key), true) = (request.admission, request.attempts.is_empty()) {
            entry.admission().on_stage_sent(key);
        }
        self.requests[index].attempts.push(attempt);
        let delay_us = self.delay_us(attempt);
        self.schedule_after(delay_us, Event::Deliver(attempt));
        if self.mode != Mode::Baseline && !hedge {
            self.consider_hedge(attempt);
        }
    }

    pub(super) fn consider_hedge(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        let request = &self.requests[attempt.request];
        if request.ended || request.stage != attempt.stage || attempt.replied {
            return;
        }
        let stage = self.stage(request);
        let in_flight = request.attempts.iter().filter(|it| !self.attempts[**it].replied).count();
        let query = HedgeQuery {
            idempotent: stage.idempotent,
            hedged: in_flight > 1 || attempt.hedge,
            sent_ms: attempt.sent_us / US_PER_MS,
            expected_ms: attempt.expected_ms,
            finish_by_ms: attempt.submission.deadline_ms,
            other_has_capacity: false,
        };
        let tried: Vec<usize> =
            request.attempts.iter().map(|it| self.attempts[*it].upstream).collect();
        let (now_ms, request, entry) = (self.now_ms(), attempt.request, request.entry);
        match self.entries[entry].hedge(now_ms, stage.pool, &tried, query) {
            HedgeDecision::Hedge => self.send(request, true),
            HedgeDecision::WaitUntil(at_ms) => {
                let delay_us = (at_ms * US_PER_MS).saturating_sub(self.now_us);
                self.schedule_after(delay_us, Event::Hedge(index));
            }
            HedgeDecision::No(_) => {}
        }
    }

    pub(super) fn on_reply(&mut self, index: usize, reply: ReplyKind) {
        let now_ms = self.now_ms();
        let attempt = &mut self.attempts[index];
        if attempt.replied {
            return;
        }
        attempt.replied = true;
        let request = &self.requests[attempt.request];
        let stage = self.fleet.pipelines[request.pipeline].stages[attempt.stage];
        let entry = &mut self.entries[request.entry];
        if let Some(load) = attempt.load {
            entry.on_load(now_ms, stage.pool, attempt.upstream, load);
        }
        match (reply, attempt.state) {
            (ReplyKind::Completed, State::Ended(usage)) => {
                let latency_ms = (self.now_us - attempt.sent_us) / US_PER_MS;
                let (upstream, expected_ms) = (attempt.upstream, attempt.expected_ms);
                let completed = Completed { upstream, stage, expected_ms, latency_ms, usage };
                entry.on_completed(now_ms, completed);
                self.advance(index);
            }
            (ReplyKind::Lost, _) => {
                entry.on_end(now_ms, stage.pool, attempt.upstream, AttemptEnd::Failed);
                self.retry(index, true);
            }
            (ReplyKind::Abandoned, State::Ended(usage)) => {
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

    /// Starts the next stage of a request, or ends the request after its last stage.
    pub(super) fn advance(&mut self, index: usize) {
        let (request_index, stage) = (self.attempts[index].request, self.attempts[index].stage);
        let request = &mut self.requests[request_index];
        if request.ended || request.stage != stage {
            return;
        }
        for cost in request.attempt_costs.iter_mut().filter(|it| it.0 == index) {
            cost.2 = true;
        }
        request.stage += 1;
        let superseded = std::mem::take(&mut request.attempts);
        let is_last = request.stage == self.fleet.pipelines[request.pipeline].stages.len();
        self.cancel(&superseded);
        if is_last {
            let on_time = self.now_us <= self.requests[request_index].deadline_us;
            self.end_request(request_index, on_time, None);
        } else {
            self.send(request_index, false);
        }
    }

    pub(super) fn retry(&mut self, index: usize, lost: bool) {
        let attempt = &self.attempts[index];
        let request = &self.requests[attempt.request];
        if request.ended || request.stage != attempt.stage {
            return;
        }
        if request.attempts.iter().any(|it| !self.attempts[*it].replied) {
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
        self.end_request(request_index, false, Some(reason));
    }

    pub(super) fn on_deadline(&mut self, index: usize) {
        if !self.requests[index].ended {
            self.end_request(index, false, Some(Reason::DeadlineExpired));
        }
    }

    pub(super) fn cancel(&mut self, attempts: &[usize]) {
        if self.mode == Mode::Baseline {
            return;
        }
        for &attempt in attempts {
            if self.attempts[attempt].replied {
                continue;
            }
            let delay_us = self.delay_us(attempt);
            self.schedule_after(delay_us, Event::Cancel(attempt));
        }
    }

    /// Ends a request, cancels its attempts in flight and adds it to the results.
    pub(super) fn end_request(&mut self, index: usize, on_time: bool, reason: Option<Reason>) {
        let in_flight = std::mem::take(&mut self.requests[index].attempts);
        self.cancel(&in_flight);
        let request = &mut self.requests[index];
        request.ended = true;
        let accepted = self.mode == Mode::Baseline || request.admission.is_some();
        if let Some(key) = request.admission {
            self.entries[request.entry].admission().finish(key);
        }
        let attempt_costs = std::mem::take(&mut request.attempt_costs);
        for (attempt, usage, used) in attempt_costs {
            self.record_cost(index, self.attempts[attempt].stage, usage, used && on_time);
        }

        let request = &self.requests[index];
        let pipeline = &self.fleet.pipelines[request.pipeline];
        if on_time && self.is_measured(self.now_us) {
            for stage in pipeline.stages.iter().filter(|it| it.pool == GENERATE) {
                let tokens = f64::from(stage.max_tokens) * request.token_fraction;
                self.on_time_work_ms += self.fleet.pools[GENERATE].saturated_run_ms(tokens);
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

    pub(super) fn record_cost(&mut self, request: usize, stage: usize, usage: Usage, used: bool) {
        let request = &self.requests[request];
        let label = StageLabel {
            pipeline: self.fleet.pipelines[request.pipeline].name.to_owned(),
            customer: self.fleet.customers[request.customer].name.to_owned(),
            stage: StageIndex(stage as u8),
        };
        let work_outcome = if used { WorkOutcome::Used } else { WorkOutcome::Wasted };
        self.ledger.on_attempt(&label, usage, work_outcome);
    }
}
