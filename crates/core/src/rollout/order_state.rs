//! State of one order at one entry: its phase, and what the entry may start at the new version.
//!
//! Entries don't coordinate single calls. Each keeps to a part of its own starts and to a share of the
//! slack, so that the sum over all entries stays within the limits. With 300 entries each may start a
//! fraction of a call, so every entry rounds at another point, which is uniformly distributed.

use crate::{
    rollout::{
        ExposureLimit, RolloutDirective, RolloutOrder, RolloutPhase, RolloutState,
        answers::Evidence,
    },
    switch::MechanismSwitch,
    upstreams::{rank_among, rendezvous_weight},
};

/// Age from which a directive is not acted upon in `Canary` and `Ramp`, in milliseconds.
const DIRECTIVE_MAX_AGE_MS: u64 = 1_500;
/// The same for each entry, in milliseconds: two intervals of an exchange, which grow with the entries.
const DIRECTIVE_MAX_AGE_PER_ENTRY_MS: u64 = 10;
/// Part of share and slack that may be used up to the end of `Canary`.
const CANARY_PART: f64 = 0.5;
/// Part of share and slack that may be used up to the end of `Ramp`; the rest is for `Switch`, in which
/// nothing limits what a version receives that turns out bad.
const RAMP_PART: f64 = 0.75;
/// Smallest number of entries that is assumed, in case others are not known yet.
const MIN_ASSUMED_ENTRIES: usize = 3;
/// Largest number of calls that an entry starts at once at the new version.
const MAX_CREDIT: f64 = 2.0;
/// Credit that the last prompt prefix in the order of preference needs in addition. Prefixes that come
/// first use up the credit, so that the others stay at the old version.
const PREFIX_CREDIT: f64 = 0.5;
/// Part of the allowance that is reserved for prompt prefixes that come first.
const PREFIX_PART: f64 = 0.5;

/// Mechanism that a test disables to show that its oracle detects the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExposureSabotage {
    /// Calls at the new version are not limited in `Canary` and `Ramp`.
    Budget,
    /// Every entry has all of the slack.
    SlackDivision,
    /// An entry that started after the order has a share of the slack.
    LateSlack,
    /// A directive is followed however old it is.
    Freshness,
}

/// Why a call begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// For a request that may run at any version.
    New,
    /// To go on with a stream at the version that began it.
    Resumed,
}

/// An order as one entry knows it.
#[derive(Clone, Debug)]
pub(crate) struct OrderState {
    pub(crate) order: RolloutOrder,
    /// Time of the order, in milliseconds; negative if it is older than this process.
    pub(crate) ordered_ms: i64,
    /// Verdict that the platform has shown. It stays in force if a restored platform has lost it.
    pub(crate) verdict: Option<RolloutState>,
    /// Whether the platform shows it now.
    pub(crate) is_verdict_stored: bool,
    /// Time at which the platform last began to show it, in milliseconds.
    pub(crate) verdict_ms: u64,
    /// Time until which the order stays in force although a restored platform lacks it, in
    /// milliseconds.
    pub(crate) lost_until_ms: Option<u64>,
    /// Calls started since the order.
    pub(crate) started: u64,
    /// Those of them at the new version.
    pub(crate) new_started: u64,
    pub(crate) evidence: Evidence,
    /// Upstreams that the last directives with a canary named.
    pub(crate) canary: Vec<String>,
    /// Last directive, and the time at which it was received, in milliseconds.
    directive: Option<(RolloutDirective, u64)>,
    has_slack: bool,
    /// Largest number of entries that was known since the order.
    entries: usize,
    /// Part of the service's slots that the canary has.
    canary_part: f64,
    /// Calls that may be started at the new version at once.
    credit: f64,
    /// Fraction of a call at which the entry rounds its allowance.
    rounding: f64,
    mechanisms: MechanismSwitch<ExposureSabotage>,
}

impl OrderState {
    /// Creates the state of an order that is known from now on to this run of an entry; `entries` are
    /// none if it has no share of the slack.
    pub(crate) fn new(
        order: RolloutOrder,
        (entry, incarnation): (&str, u64),
        entries: Option<&[String]>,
        mechanisms: MechanismSwitch<ExposureSabotage>,
        now_ms: u64,
    ) -> Self {
        let subject = format!("{}\0{}\0{}", order.service, order.to, order.created_at);
        let mut rounding =
            fraction(rendezvous_weight(&format!("{entry}\0{incarnation}"), &subject));
        if let Some(entries) = entries {
            // Entries that start equally many calls differ evenly, so that the sum varies little.
            let rank = rank_among(entries, entry, &subject);
            rounding = ((rank as f64 + rounding) / entries.len().max(1) as f64).min(1.0);
        }
        Self {
            order,
            ordered_ms: now_ms as i64,
            verdict: None,
            is_verdict_stored: false,
            verdict_ms: 0,
            lost_until_ms: None,
            started: 0,
            new_started: 0,
            evidence: Evidence::default(),
            canary: Vec::new(),
            directive: None,
            has_slack: entries.is_some(),
            entries: entries.map_or(0, <[String]>::len).max(MIN_ASSUMED_ENTRIES),
            canary_part: 0.0,
            credit: 1.0 - rounding,
            rounding,
            mechanisms,
        }
    }

    pub(crate) fn observe_entries(&mut self, entries: usize) {
        self.entries = self.entries.max(entries);
    }

    pub(crate) fn set_canary_part(&mut self, part: f64) {
        self.canary_part = part;
    }

    /// Returns the upstreams that the directive names; all of the new version's if it names none.
    pub(crate) fn named_upstreams(&self) -> &[String] {
        self.directive.as_ref().map_or(&[], |(it, _)| it.canary.as_slice())
    }

    /// Returns the phase that the entry acts on; `Warming` while it sends nothing to the new version
    /// for lack of a fresh directive.
    pub(crate) fn phase(&self, now_ms: u64) -> RolloutPhase {
        match self.verdict {
            Some(RolloutState::Completed) => return RolloutPhase::Completed,
            Some(RolloutState::RolledBack) => return RolloutPhase::RolledBack,
            Some(RolloutState::Running) | None => {}
        }
        let Some((directive, received_ms)) = &self.directive else { return RolloutPhase::Warming };
        let is_limited = matches!(directive.phase, RolloutPhase::Canary | RolloutPhase::Ramp);
        let is_stale = now_ms.saturating_sub(*received_ms) > self.directive_max_age_ms()
            && !self.mechanisms.is_disabled(ExposureSabotage::Freshness);
        if is_limited && is_stale { RolloutPhase::Warming } else { directive.phase }
    }

    fn directive_max_age_ms(&self) -> u64 {
        DIRECTIVE_MAX_AGE_MS.max(self.entries as u64 * DIRECTIVE_MAX_AGE_PER_ENTRY_MS)
    }

    /// Applies a directive, unless this entry has advanced further.
    pub(crate) fn apply_directive(&mut self, directive: &RolloutDirective, now_ms: u64) {
        self.ordered_ms = self.ordered_ms.min(now_ms as i64 - directive.age_ms as i64);
        let former = self.directive.as_ref().map(|(it, received_ms)| {
            (it.phase, now_ms.saturating_sub(*received_ms) <= self.directive_max_age_ms())
        });
        if let Some((phase, is_fresh)) = former {
            let ends_switch = phase >= RolloutPhase::Switch && directive.phase < phase;
            // Two entries may own the roll-out for a moment, and one of them lags behind.
            let lags_behind = directive.phase < phase && is_fresh;
            // The platform decides which of two verdicts counts.
            let contradicts = phase >= RolloutPhase::Completed && directive.phase != phase;
            if ends_switch || lags_behind || contradicts {
                return;
            }
            if phase != directive.phase {
                self.credit = 1.0 - self.rounding;
            }
        }
        if !directive.canary.is_empty() {
            self.canary.clone_from(&directive.canary);
        }
        self.directive = Some((directive.clone(), now_ms));
    }

    /// Tells whether the phase limits what the new version receives.
    pub(crate) fn is_limited(&self, now_ms: u64) -> bool {
        matches!(self.phase(now_ms), RolloutPhase::Canary | RolloutPhase::Ramp)
    }

    /// Tells whether a directive allows calls to this upstream of the new version.
    pub(crate) fn names(&self, upstream: &str) -> bool {
        let named = self.named_upstreams();
        named.is_empty() || named.iter().any(|it| it == upstream)
    }

    /// Returns the number of calls at the new version that this entry may have started when it starts
    /// the next one.
    fn allowance(&self, limit: ExposureLimit, kind: CallKind, now_ms: u64) -> f64 {
        let is_canary = self.phase(now_ms) == RolloutPhase::Canary;
        // A stream that goes on may use what is reserved for later.
        let part = if is_canary && kind == CallKind::New { CANARY_PART } else { RAMP_PART };
        let mut share = limit.share * part;
        if is_canary && kind == CallKind::New {
            share = share.min(self.directive_share());
        }
        let is_divided = !self.mechanisms.is_disabled(ExposureSabotage::SlackDivision);
        let entries = if is_divided { self.entries } else { 1 };
        let slack = if self.has_slack { limit.slack * part / entries as f64 } else { 0.0 };
        share * (self.started + 1) as f64 + slack
    }

    fn directive_share(&self) -> f64 {
        self.directive.as_ref().map_or(0.0, |(it, _)| it.share.clamp(0.0, 1.0))
    }

    /// Returns the part of the calls that may go to the new version for a short time. In `Canary` its
    /// upstreams receive at most the load of old ones while unused allowance is spent.
    fn pace(&self, now_ms: u64) -> f64 {
        match self.phase(now_ms) {
            RolloutPhase::Canary => self.canary_part,
            RolloutPhase::Ramp => self.directive_share(),
            _ => 0.0,
        }
    }

    /// Tells whether a call may be started at the new version within the exposure budget; `preference`
    /// is from 0 to 1, and calls of a lower one come first.
    pub(crate) fn is_within_budget(
        &self,
        limit: ExposureLimit,
        kind: CallKind,
        preference: f64,
        now_ms: u64,
    ) -> bool {
        if self.mechanisms.is_disabled(ExposureSabotage::Budget) {
            return true;
        }
        let allowance = self.allowance(limit, kind, now_ms) * (1.0 - PREFIX_PART * preference);
        let is_allowed = self.new_started as f64 + self.rounding < allowance;
        if kind == CallKind::Resumed {
            return is_allowed;
        }
        let pace = self.pace(now_ms);
        let needed = 1.0 + PREFIX_CREDIT * (preference - pace).max(0.0);
        is_allowed && self.credit + pace >= needed
    }

    /// Returns the preference of a call for the new version: that of its prompt prefix, or one that
    /// varies from call to call.
    pub(crate) fn preference(&self, prefix: Option<&str>) -> f64 {
        let to = &self.order.to;
        fraction(match prefix {
            Some(prefix) => rendezvous_weight(to, prefix),
            None => rendezvous_weight(to, &self.started.to_string()),
        })
    }

    pub(crate) fn record_start(&mut self, is_new: bool, now_ms: u64) {
        self.started += 1;
        self.credit = (self.credit + self.pace(now_ms)).min(MAX_CREDIT);
        if is_new {
            self.new_started += 1;
            self.credit = (self.credit - 1.0).max(0.0);
        }
    }

    /// Takes back a call at the old version that the upstream did not run.
    pub(crate) fn record_not_run(&mut self) {
        self.started = self.started.saturating_sub(1).max(self.new_started);
    }
}

fn fraction(weight: u64) -> f64 {
    weight as f64 / u64::MAX as f64
}
