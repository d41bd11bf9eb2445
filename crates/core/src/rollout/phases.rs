//! One roll-out at a decider: its phase, its schedule and the verdict that it leads to.

use std::sync::Arc;

use crate::{
    FastMap, FastSet,
    rollout::{
        ExposureLimit, RolloutDirective, RolloutEvent, RolloutOrder, RolloutPhase, RolloutReport,
        RolloutState, RolloutUpstreams, VerdictInputs, VerdictReason,
        canary::{choose_canary, warm_slots},
        decision::final_phase,
        evidence::Evidence,
    },
};

/// Duration of the phase `Ramp`, in milliseconds.
pub(crate) const RAMP_MS: u64 = 1_500;
/// Time from the report of the last entry in `Switch` to the verdict, in which a version that is bad only
/// at full load shows it.
const FULL_LOAD_MS: u64 = 1_000;
/// Time between switch and deadline beside the settling and two exchanges, in milliseconds.
const MARGIN_MS: u64 = 1_000;
/// Shortest time allowed for the work in progress at the old version, in milliseconds.
const MIN_SETTLE_MS: u64 = 1_000;
/// Time before the deadline at which the verdict is written if the phases have not led to one.
const DECISION_MARGIN_MS: u64 = 500;
/// Upper limit of the exchange interval that is estimated from reports: older directives have no effect.
const MAX_EXCHANGE_MS: u64 = 1_500;
/// Limits of the time, two exchanges, after which a silent entry may have started again.
const FRESH_REPORT_MS: (u64, u64) = (750, 2_000);
/// Time after which an unreachable entry does not delay a verdict any more, `touchMs`.
const UNREACHABLE_MS: u64 = 4_000;
/// Time after the deadline up to which a completion waits for the old version to be free.
const MAX_LATENESS_MS: u64 = UNREACHABLE_MS + FULL_LOAD_MS;
/// Answers of the new version without which it is not switched to.
const MIN_ANSWERS: u32 = 30;
/// Answers of the new version that end the phase `Canary`; `Ramp` provides the rest.
const MIN_CANARY_ANSWERS: u32 = 15;
/// A verdict that this decider has reached or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) state: RolloutState,
    /// Tells whether the platform has held it or a write of it was started; it does not change then,
    /// unless the platform shows another.
    pub(crate) is_final: bool,
}

/// Last report of an entry.
#[derive(Clone, Debug)]
struct ReportingEntry {
    incarnation: u64,
    age_ms: u64,
    phase: RolloutPhase,
    old_in_use: u32,
    usual_duration_ms: u64,
    heard_ms: u64,
    /// Smoothed time between reports, in milliseconds.
    interval_ms: u64,
}

/// Facts of one service that do not depend on the order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    pub(crate) limit: ExposureLimit,
    pub(crate) exchange_interval_ms: u64,
    pub(crate) upstreams: &'a RolloutUpstreams,
    /// Listed entries, with the time since which each is listed.
    pub(crate) entries: &'a FastMap<Arc<str>, u64>,
}

/// An order and what is decided about it.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(crate) order: RolloutOrder,
    pub(crate) verdict: Option<Verdict>,
    /// Time of the order on this decider's clock; negative if the clock began later.
    ordered_ms: i64,
    phase: RolloutPhase,
    phase_since_ms: u64,
    share: f64,
    canary: Vec<Arc<str>>,
    /// Time from which this decider knows the order.
    known_since_ms: u64,
    /// Phase of the last event.
    announced: RolloutPhase,
    /// Time from which all entries have reported `Switch`.
    switched_ms: Option<u64>,
    /// Answers of the new version up to the current phase.
    answers_before: u32,
    /// Tells whether another decider was first to enter the current phase, at a time unknown here.
    is_adopted: bool,
    /// Canary upstreams that alone looked bad.
    replaced: FastSet<Arc<str>>,
    entries: FastMap<Arc<str>, ReportingEntry>,
    evidence: Evidence,
}

impl Rollout {
    pub(crate) fn new(order: RolloutOrder, now_ms: u64) -> Self {
        Self {
            order,
            verdict: None,
            ordered_ms: to_signed(now_ms),
            phase: RolloutPhase::Warming,
            phase_since_ms: now_ms,
            share: 0.0,
            canary: Vec::new(),
            known_since_ms: now_ms,
            announced: RolloutPhase::Warming,
            switched_ms: None,
            answers_before: 0,
            is_adopted: false,
            replaced: FastSet::default(),
            entries: FastMap::default(),
            evidence: Evidence::default(),
        }
    }

    #[cfg(feature = "sabotage")]
    pub(crate) fn evidence_mut(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(to_signed(now_ms).saturating_sub(self.ordered_ms)).unwrap_or(0)
    }

    /// Merges a report of this order.
    pub(crate) fn merge_report(
        &mut self,
        report: &RolloutReport,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        let ordered_ms = to_signed(now_ms).saturating_sub(to_signed(report.age_ms));
        self.ordered_ms = self.ordered_ms.min(ordered_ms);
        self.evidence.merge(report);
        let mut interval_ms = 0;
        if let Some(known) = self.entries.get(&report.entry) {
            if known.incarnation == report.incarnation && report.age_ms < known.age_ms {
                // Delayed beyond a later report; only its counts can add something.
                return;
            }
            let gap_ms = now_ms.saturating_sub(known.heard_ms);
            interval_ms = match known.interval_ms {
                0 => gap_ms,
                smoothed => (3 * smoothed + gap_ms) / 4,
            };
        }
        let entry = ReportingEntry {
            incarnation: report.incarnation,
            age_ms: report.age_ms,
            phase: report.phase,
            old_in_use: report.old_in_use,
            usual_duration_ms: report.usual_duration_ms,
            heard_ms: now_ms,
            interval_ms,
        };
        self.entries.insert(report.entry.clone(), entry);
        self.adopt_phase(report, now_ms, events);
    }

    /// Takes over what another decider has told an entry: a decider never goes back to an earlier phase.
    fn adopt_phase(&mut self, report: &RolloutReport, now_ms: u64, events: &mut Vec<RolloutEvent>) {
        if let Some(state) = report.standing_verdict.filter(|it| it.is_verdict()) {
            if self.verdict.is_none_or(|it| !it.is_final) {
                self.adopt_verdict(state, now_ms, events);
            }
            return;
        }
        if self.verdict.is_some() {
            return;
        }
        match report.phase {
            // Entries enter this phase only when the platform has shown the verdict.
            RolloutPhase::Completed => {
                self.adopt_verdict(RolloutState::Completed, now_ms, events);
            }
            RolloutPhase::RolledBack => {
                let inputs = self.inputs(0, 0, now_ms);
                self.reach(
                    RolloutState::RolledBack,
                    VerdictReason::OtherDecider,
                    inputs,
                    now_ms,
                    events,
                );
            }
            RolloutPhase::Ramp | RolloutPhase::Switch | RolloutPhase::Canary
                if report.phase > self.phase =>
            {
                self.enter(report.phase, now_ms);
                self.is_adopted = true;
            }
            _ => {}
        }
    }

    /// Takes over a verdict that the platform holds or has held.
    pub(crate) fn adopt_verdict(
        &mut self,
        state: RolloutState,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        let is_new = self.verdict.is_none_or(|it| it.state != state);
        self.verdict = Some(Verdict { state, is_final: true });
        if is_new {
            events.push(RolloutEvent::VerdictAdopted { order: self.order.clone(), state });
        }
        self.enter(final_phase(state), now_ms);
    }

    /// Takes over a verdict that was reached on this order before it was removed.
    pub(crate) fn restore_verdict(&mut self, verdict: Verdict, now_ms: u64) {
        self.verdict = Some(verdict);
        self.enter(final_phase(verdict.state), now_ms);
    }

    fn reach(
        &mut self,
        state: RolloutState,
        reason: VerdictReason,
        inputs: VerdictInputs,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        self.verdict = Some(Verdict { state, is_final: false });
        let order = self.order.clone();
        events.push(RolloutEvent::VerdictReached { order, state, reason, inputs });
        // Entries go on in `Switch` until the platform holds the completion.
        if state == RolloutState::RolledBack {
            self.enter(RolloutPhase::RolledBack, now_ms);
        }
    }

    fn enter(&mut self, phase: RolloutPhase, now_ms: u64) {
        if self.phase == phase {
            return;
        }
        self.phase = phase;
        self.phase_since_ms = now_ms;
        self.is_adopted = false;
        self.answers_before = self.evidence.totals().new_answers;
        self.canary.clear();
        self.share = match phase {
            RolloutPhase::Switch | RolloutPhase::Completed => 1.0,
            _ => 0.0,
        };
    }

    /// Adds the event of a phase that was entered since the last call.
    pub(crate) fn announce_phase(&mut self, now_ms: u64, events: &mut Vec<RolloutEvent>) {
        if self.announced == self.phase {
            return;
        }
        self.announced = self.phase;
        events.push(RolloutEvent::PhaseEntered {
            order: self.order.clone(),
            phase: self.phase,
            share: self.share,
            age_ms: self.age_ms(now_ms),
        });
    }

    /// Advances phases and reaches the verdict that is due; a completion only at the owner, which writes
    /// it at once.
    pub(crate) fn advance(
        &mut self,
        context: Context<'_>,
        may_complete: bool,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        if self.verdict.is_some() {
            return;
        }
        self.evidence.advance(context.upstreams.new.len(), now_ms);
        if self.evidence.is_bad(context.upstreams.new.len()) {
            return self.roll_back(VerdictReason::BadAnswers, context, now_ms, events);
        }
        self.replace_sick_upstream(now_ms, events);
        self.advance_phase(context, now_ms);
        self.update_canary(context);
        if self.phase == RolloutPhase::Switch {
            return self.end_switch(context, may_complete, now_ms, events);
        }
        let is_due = self.age_ms(now_ms) + DECISION_MARGIN_MS >= self.order.duration_ms;
        if is_due && self.has_heard(context, now_ms) {
            let reason = if context.upstreams.new.is_empty() {
                VerdictReason::NoUpstreams
            } else if !self.has_capacity(context) {
                VerdictReason::TooLittleCapacity
            } else {
                VerdictReason::TooLittleEvidence
            };
            self.roll_back(reason, context, now_ms, events);
        }
    }

    fn end_switch(
        &mut self,
        context: Context<'_>,
        may_complete: bool,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        let age_ms = self.age_ms(now_ms);
        if self.switched_ms.is_none() && self.has_switched(context) {
            self.switched_ms = Some(now_ms);
        }
        let loaded_at_ms = self.switch_at_ms(context, now_ms) + FULL_LOAD_MS;
        let is_loaded = self.switched_ms.is_some_and(|it| now_ms >= it + FULL_LOAD_MS)
            || self.is_adopted && age_ms >= loaded_at_ms;
        let answers = self.evidence.totals().new_answers - self.answers_before;
        let is_doubtful = self.evidence.is_doubtful(context.upstreams.new.len());
        let has_time = age_ms + DECISION_MARGIN_MS < self.order.duration_ms;
        if has_time && (!is_loaded || is_doubtful || answers < MIN_ANSWERS) {
            return;
        }
        if is_doubtful {
            return self.roll_back(VerdictReason::BadAnswers, context, now_ms, events);
        }
        let has_capacity = self.has_capacity(context);
        if has_capacity && !self.is_old_needed(context, now_ms) {
            if may_complete {
                let inputs = self.inputs_in(context, now_ms);
                let state = RolloutState::Completed;
                self.reach(state, VerdictReason::Switched, inputs, now_ms, events);
            }
            return;
        }
        // Traffic has moved: work that ends late and entries that were just lost delay the verdict.
        if age_ms >= self.order.duration_ms + MAX_LATENESS_MS && self.has_heard(context, now_ms) {
            let reason = match has_capacity {
                true => VerdictReason::OldVersionInUse,
                false => VerdictReason::TooLittleCapacity,
            };
            self.roll_back(reason, context, now_ms, events);
        }
    }

    /// Tells whether all entries that report have moved their traffic.
    fn has_switched(&self, context: Context<'_>) -> bool {
        let mut listed = self.entries.iter().filter(|it| context.entries.contains_key(it.0));
        listed.all(|(_, it)| it.phase >= RolloutPhase::Switch)
    }

    /// Tells whether this decider knows the order long enough to have a report of each entry.
    fn has_heard(&self, context: Context<'_>, now_ms: u64) -> bool {
        now_ms >= self.known_since_ms + MAX_EXCHANGE_MS
            || context.entries.keys().all(|it| self.entries.contains_key(it))
    }

    fn roll_back(
        &mut self,
        reason: VerdictReason,
        context: Context<'_>,
        now_ms: u64,
        events: &mut Vec<RolloutEvent>,
    ) {
        let inputs = self.inputs_in(context, now_ms);
        self.reach(RolloutState::RolledBack, reason, inputs, now_ms, events);
    }

    fn advance_phase(&mut self, context: Context<'_>, now_ms: u64) {
        let answers = self.evidence.totals().new_answers;
        let age_ms = self.age_ms(now_ms);
        let switch_at_ms = self.switch_at_ms(context, now_ms);
        if self.phase == RolloutPhase::Warming && context.upstreams.new.iter().any(|it| it.is_warm)
        {
            self.enter(RolloutPhase::Canary, now_ms);
        }
        if self.phase == RolloutPhase::Canary
            && age_ms >= switch_at_ms.saturating_sub(RAMP_MS)
            && answers >= MIN_CANARY_ANSWERS
        {
            self.enter(RolloutPhase::Ramp, now_ms);
        }
        let has_ramped =
            now_ms >= self.phase_since_ms + RAMP_MS || self.is_adopted && age_ms >= switch_at_ms;
        if self.phase == RolloutPhase::Ramp
            && has_ramped
            && answers >= MIN_ANSWERS
            && self.has_capacity(context)
        {
            self.enter(RolloutPhase::Switch, now_ms);
        }
    }

    /// Returns the age at which all traffic moves.
    fn switch_at_ms(&self, context: Context<'_>, now_ms: u64) -> u64 {
        let mut settle_ms = MIN_SETTLE_MS;
        let mut exchange_ms = context.exchange_interval_ms;
        for (name, entry) in &self.entries {
            let is_lost = now_ms >= entry.heard_ms + UNREACHABLE_MS;
            if is_lost || !context.entries.contains_key(name) {
                continue;
            }
            settle_ms = settle_ms.max(entry.usual_duration_ms);
            exchange_ms = exchange_ms.max(entry.interval_ms.min(MAX_EXCHANGE_MS));
        }
        let settle_ms = settle_ms.min(self.order.duration_ms / 3);
        let margin_ms = MARGIN_MS + 2 * exchange_ms;
        self.order.duration_ms.saturating_sub(settle_ms + margin_ms)
    }

    /// Tells whether the warm upstreams of the new version have 0.8 of the slots of the old ones.
    fn has_capacity(&self, context: Context<'_>) -> bool {
        u64::from(warm_slots(context.upstreams)) * 5 >= u64::from(context.upstreams.old_slots) * 4
    }

    fn replace_sick_upstream(&mut self, now_ms: u64, events: &mut Vec<RolloutEvent>) {
        if !matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Ramp) {
            return;
        }
        let Some(upstream) = self.evidence.sole_bad_upstream() else { return };
        if !self.canary.contains(&upstream) || !self.replaced.insert(upstream.clone()) {
            return;
        }
        let (order, age_ms) = (self.order.clone(), self.age_ms(now_ms));
        events.push(RolloutEvent::CanaryReplaced { order, upstream, age_ms });
    }

    fn update_canary(&mut self, context: Context<'_>) {
        if !matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Ramp) {
            return;
        }
        let share = context.limit.share / 2.0;
        let warm = choose_canary(&self.order, context.upstreams, share, &self.replaced);
        self.canary = warm.iter().map(|it| it.id.clone()).collect();
        self.share = share;
        if self.phase == RolloutPhase::Ramp {
            let slots: u32 = warm.iter().map(|it| it.slots).sum();
            let all_slots = slots + context.upstreams.old_slots;
            self.share = share.max(f64::from(slots) / f64::from(all_slots.max(1)));
        }
    }

    /// Tells whether an entry needs the old version, or may need it because it cannot be reached.
    fn is_old_needed(&self, context: Context<'_>, now_ms: u64) -> bool {
        if context.entries.is_empty() {
            return true;
        }
        for (name, listed_ms) in context.entries {
            let entry = self.entries.get(name);
            let heard_ms = entry.map_or(*listed_ms, |it| it.heard_ms);
            if now_ms >= heard_ms + UNREACHABLE_MS {
                continue;
            }
            let Some(entry) = entry else { return true };
            let exchanges_ms = 2 * entry.interval_ms.max(context.exchange_interval_ms);
            let is_fresh =
                now_ms < heard_ms + exchanges_ms.clamp(FRESH_REPORT_MS.0, FRESH_REPORT_MS.1);
            if !is_fresh || entry.phase < RolloutPhase::Switch || entry.old_in_use > 0 {
                return true;
            }
        }
        false
    }

    fn inputs_in(&self, context: Context<'_>, now_ms: u64) -> VerdictInputs {
        let upstreams = context.upstreams;
        let mut inputs = self.inputs(warm_slots(upstreams), upstreams.old_slots, now_ms);
        inputs.log_evidence = self.evidence.log_evidence(upstreams.new.len());
        inputs
    }

    fn inputs(&self, warm_slots: u32, old_slots: u32, now_ms: u64) -> VerdictInputs {
        let totals = self.evidence.totals();
        let oldest_ms = self.entries.values().map(|it| it.heard_ms).min().unwrap_or(now_ms);
        VerdictInputs {
            age_ms: self.age_ms(now_ms),
            oldest_report_ms: now_ms.saturating_sub(oldest_ms),
            reporting_entries: self.entries.len(),
            old_answers: totals.old_answers,
            old_bad: totals.old_bad,
            new_answers: totals.new_answers,
            new_bad: totals.new_bad,
            log_evidence: 0.0,
            warm_slots,
            old_slots,
        }
    }

    pub(crate) fn directive(&self, now_ms: u64) -> RolloutDirective {
        RolloutDirective {
            order: self.order.clone(),
            phase: self.phase,
            share: self.share,
            canary: self.canary.iter().map(|it| it.to_string()).collect(),
            age_ms: self.age_ms(now_ms),
        }
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
