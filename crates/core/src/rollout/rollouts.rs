//! Roll-outs as one entry knows them, and what it may send to each version.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    FastMap,
    revision::Revision,
    rollout::{
        AnswerSample, ExposureLimit, ExposureSabotage, RolloutDirective, RolloutObject,
        RolloutPhase, RolloutReport, RolloutState,
        answers::CallDurations,
        order_state::{CallKind, OrderState},
        usage::Usage,
        versions::{ListedVersion, VersionGate},
    },
    switch::MechanismSwitch,
};

/// Time after a restore of the platform for which an order that its list lacks stays in force, in
/// milliseconds. Operators write their orders again within a few seconds.
const LOST_ORDER_MS: u64 = 10_000;
/// Time for which an entry must have had a list when an order arrives to have a share of the slack, in
/// milliseconds. A list from another entry may be older than the order although this entry started
/// after it; entries that lag behind by more are not listed any more.
const SETTLED_MS: u64 = 4_000;
/// Time after the verdict for which reports are sent, in milliseconds.
const REPORTED_AFTER_VERDICT_MS: u64 = 10_000;

/// State of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    order: Option<OrderState>,
    gate: VersionGate,
    durations: CallDurations,
}

impl ServiceState {
    /// Returns the version of an order that has not completed.
    fn unproved(&self) -> Option<Arc<str>> {
        let order = self.order.as_ref()?;
        (order.verdict != Some(RolloutState::Completed)).then(|| order.order.to.clone())
    }

    fn update_canary_part(&mut self) {
        let Some(order) = &mut self.order else { return };
        let part = self.gate.canary_part(&order.order.to, order.named_upstreams());
        order.set_canary_part(part);
    }
}

/// Roll-outs of all services, as one entry knows them.
#[derive(Debug, Default)]
pub struct Rollouts {
    limit: Option<ExposureLimit>,
    incarnation: u64,
    entry: Arc<str>,
    /// Names of all entries; none before they are known.
    entries: Option<Vec<String>>,
    revision: Revision,
    /// Time of the first list, in milliseconds.
    listed_ms: Option<u64>,
    objects: BTreeMap<String, RolloutObject>,
    services: FastMap<Arc<str>, ServiceState>,
    pub(crate) usage: Usage,
    mechanisms: MechanismSwitch<ExposureSabotage>,
}

impl Rollouts {
    /// Creates a set without orders. Without a limit, roll-outs are disabled and all versions are
    /// admitted; `incarnation` differs between the runs of an entry.
    pub fn new(limit: Option<ExposureLimit>, incarnation: u64) -> Self {
        Self { limit, incarnation, ..Self::default() }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: ExposureSabotage) {
        self.mechanisms.disable(sabotage);
    }

    /// Returns the bounds on new versions; none if roll-outs are disabled.
    pub fn exposure_limit(&self) -> Option<ExposureLimit> {
        self.limit
    }

    /// Returns the revision of the list of roll-outs in use.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn set_name(&mut self, entry: &str) {
        self.entry = entry.into();
    }

    pub(crate) fn set_entries(&mut self, entries: &[String]) {
        if self.limit.is_none() {
            return;
        }
        self.entries = Some(entries.to_vec());
        for order in self.services.values_mut().filter_map(|it| it.order.as_mut()) {
            order.observe_entries(entries.len());
        }
    }

    /// Replaces the list of objects, each with its name; an object that can't be read is none, and its
    /// last readable state stays. A list of an earlier era changes nothing.
    pub fn replace(
        &mut self,
        listed: &[(String, Option<RolloutObject>)],
        revision: Revision,
        now_ms: u64,
    ) {
        if revision.era < self.revision.era {
            return;
        }
        let is_restored = self.listed_ms.is_some() && self.revision.era < revision.era;
        self.revision = revision;
        self.listed_ms.get_or_insert(now_ms);
        let mut objects = BTreeMap::new();
        for (name, object) in listed {
            if let Some(object) = object.as_ref().or(self.objects.get(name)) {
                objects.insert(name.clone(), object.clone());
            }
        }
        self.objects = objects;
        if is_restored {
            for order in self.services.values_mut().filter_map(|it| it.order.as_mut()) {
                order.lost_until_ms = Some(now_ms + LOST_ORDER_MS);
            }
        }
        self.apply_objects(false, now_ms);
    }

    /// Applies a change of one object; none if it was removed. A change of an earlier era is ignored.
    ///
    /// An object that can't be read must not be passed on, since it changes nothing.
    pub fn change(
        &mut self,
        name: &str,
        object: Option<RolloutObject>,
        revision: Revision,
        now_ms: u64,
    ) {
        if revision.era < self.revision.era {
            return;
        }
        self.revision = revision;
        match object {
            Some(object) => {
                self.objects.insert(name.to_owned(), object);
            }
            None => {
                let removed = self.objects.remove(name);
                let service = removed.map_or_else(|| name.into(), |it| it.order.service);
                let state = self.services.get_mut(&service);
                if let Some(order) = state.and_then(|it| it.order.as_mut()) {
                    order.lost_until_ms = None;
                }
            }
        }
        self.apply_objects(true, now_ms);
    }

    /// Records that the platform has made no further change up to a revision.
    pub fn confirm(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the objects that the platform lists, each with its name.
    pub fn objects(&self) -> impl Iterator<Item = (&str, &RolloutObject)> {
        self.objects.iter().map(|(name, it)| (name.as_str(), it))
    }

    /// Ends orders that a restored platform lacks and that nobody has written again.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_due = |it: &OrderState| it.lost_until_ms.is_some_and(|at_ms| at_ms <= now_ms);
        if self.services.values().any(|it| it.order.as_ref().is_some_and(is_due)) {
            self.apply_objects(false, now_ms);
        }
    }

    /// Brings the orders in line with the objects.
    fn apply_objects(&mut self, is_change: bool, now_ms: u64) {
        if self.limit.is_none() {
            return;
        }
        let mut listed: BTreeMap<Arc<str>, RolloutObject> = BTreeMap::new();
        for object in self.objects.values() {
            let known = listed.get(&object.order.service);
            if known.is_none_or(|it| it.order.created_at < object.order.created_at) {
                listed.insert(object.order.service.clone(), object.clone());
            }
        }
        for (service, state) in &mut self.services {
            let Some(order) = &state.order else { continue };
            let is_kept = order.lost_until_ms.is_some_and(|it| now_ms < it);
            if listed.contains_key(service) || is_kept {
                continue;
            }
            let to = order.order.to.clone();
            let has_completed = order.verdict == Some(RolloutState::Completed);
            state.order = None;
            if !has_completed {
                state.gate.withdraw(&to, None, now_ms);
            }
        }
        for (service, object) in listed {
            self.apply_object(service, &object, is_change, now_ms);
        }
    }

    fn apply_object(
        &mut self,
        service: Arc<str>,
        object: &RolloutObject,
        is_change: bool,
        now_ms: u64,
    ) {
        let is_settled = self.listed_ms.is_some_and(|it| it + SETTLED_MS <= now_ms);
        let has_slack = is_change && is_settled;
        let has_slack = has_slack || self.mechanisms.is_disabled(ExposureSabotage::LateSlack);
        let entries = self.entries.as_deref().filter(|_| has_slack);
        let state = self.services.entry(service).or_default();
        let order = &object.order;
        let continues = state.order.as_ref().is_some_and(|it| {
            // An order that was lost in a restore and written again has another number.
            let is_rewritten = it.lost_until_ms.is_some()
                && it.order.to == order.to
                && it.order.duration_ms == order.duration_ms;
            it.order == *order || is_rewritten
        });
        if !continues {
            let run = (self.entry.as_ref(), self.incarnation);
            let new = OrderState::new(order.clone(), run, entries, self.mechanisms, now_ms);
            let former = state.order.replace(new);
            if let Some(former) = former
                && former.verdict != Some(RolloutState::Completed)
                && former.order.to != order.to
            {
                state.gate.withdraw(&former.order.to, Some(&order.to), now_ms);
            }
            state.gate.begin_order(&order.to, now_ms);
        }
        let Some(known) = &mut state.order else { return };
        known.order = order.clone();
        known.lost_until_ms = None;
        let verdict = object.state().filter(|it| it.is_verdict());
        if verdict.is_some() && !known.is_verdict_stored {
            known.verdict_ms = now_ms;
        }
        known.is_verdict_stored = verdict.is_some();
        if verdict.is_some() && known.verdict != verdict {
            known.verdict = verdict;
            if verdict == Some(RolloutState::Completed) {
                state.gate.complete(&order.to, now_ms);
            } else {
                state.gate.withdraw(&order.to, Some(&order.to), now_ms);
            }
        }
        state.update_canary_part();
    }

    /// Applies the versions of a service whose upstreams don't leave.
    pub(crate) fn observe_versions(
        &mut self,
        service: &Arc<str>,
        listed: Vec<ListedVersion>,
        now_ms: u64,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        let unproved = state.unproved();
        state.gate.observe(listed, unproved.as_deref(), now_ms);
        state.update_canary_part();
    }

    /// Tells whether a new call may be sent to an upstream of a service at this version now.
    pub fn admits(&self, service: &str, version: &str, upstream: &str, now_ms: u64) -> bool {
        self.admits_call(service, version, upstream, CallKind::New, now_ms)
    }

    pub(crate) fn admits_call(
        &self,
        service: &str,
        version: &str,
        upstream: &str,
        kind: CallKind,
        now_ms: u64,
    ) -> bool {
        let Some(limit) = self.limit else { return true };
        let Some(state) = self.services.get(service) else { return true };
        let Some(order) = &state.order else { return state.gate.admits(version, now_ms) };
        let phase = order.phase(now_ms);
        if order.order.to.as_ref() != version {
            let has_moved = phase == RolloutPhase::Switch
                || phase == RolloutPhase::Completed && order.verdict.is_none();
            let is_used = kind == CallKind::Resumed || !has_moved;
            return is_used && state.gate.admits(version, now_ms);
        }
        match phase {
            RolloutPhase::RolledBack => false,
            RolloutPhase::Completed => true,
            _ if !state.gate.has_older(version) => true,
            RolloutPhase::Warming => false,
            RolloutPhase::Switch => kind == CallKind::Resumed || order.names(upstream),
            RolloutPhase::Canary | RolloutPhase::Ramp => {
                let is_named = kind == CallKind::Resumed || order.names(upstream);
                is_named && order.is_within_budget(limit, kind, 0.0, now_ms)
            }
        }
    }

    /// Tells whether this is the new version of a service and what it receives is limited now, so that
    /// its cold upstreams are left out.
    pub(crate) fn is_limited(&self, service: &str, version: &str, now_ms: u64) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let Some(order) = &state.order else { return false };
        let is_new = order.order.to.as_ref() == version;
        is_new && order.is_limited(now_ms) && state.gate.has_older(version)
    }

    /// Returns the new version of a service whose calls are divided between the versions now, with
    /// whether a call with this prompt prefix goes to it; none if calls are not divided.
    pub(crate) fn preferred_version(
        &self,
        service: &str,
        prefix: Option<&str>,
        now_ms: u64,
    ) -> Option<(&Arc<str>, bool)> {
        let limit = self.limit?;
        let state = self.services.get(service)?;
        let order = state.order.as_ref()?;
        if !order.is_limited(now_ms) || !state.gate.has_older(&order.order.to) {
            return None;
        }
        let preference = order.preference(prefix);
        let is_new = order.is_within_budget(limit, CallKind::New, preference, now_ms);
        Some((&order.order.to, is_new))
    }

    /// Records that a call to an upstream of a service at this version starts.
    pub(crate) fn record_start(&mut self, service: &str, version: &str, now_ms: u64) {
        let Some(state) = self.services.get_mut(service) else { return };
        let Some(order) = &mut state.order else { return };
        if order.verdict.is_none() {
            order.record_start(order.order.to.as_ref() == version, now_ms);
        }
    }

    /// Records that an upstream of a service did not run a call that was started there.
    pub(crate) fn record_not_run(&mut self, service: &str, version: &str) {
        let Some(state) = self.services.get_mut(service) else { return };
        let Some(order) = &mut state.order else { return };
        if order.verdict.is_none() && order.order.to.as_ref() != version {
            order.record_not_run();
        }
    }

    /// Records a complete answer of a warm upstream.
    pub(crate) fn record_answer(
        &mut self,
        service: &str,
        version: &str,
        upstream: &str,
        sample: &AnswerSample,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        state.durations.record(sample.call_ms);
        let Some(order) = &mut state.order else { return };
        if order.verdict.is_none() {
            let is_new = order.order.to.as_ref() == version;
            order.evidence.record(upstream, is_new, sample);
        }
    }

    /// Returns the phase that this entry acts on; none if the service has no order.
    pub fn phase(&self, service: &str, now_ms: u64) -> Option<RolloutPhase> {
        Some(self.order_of(service)?.phase(now_ms))
    }

    /// Returns the reports to send to the entries that own the roll-outs: of each order without a
    /// verdict, and for some seconds after it.
    pub fn reports(&self, now_ms: u64) -> Vec<RolloutReport> {
        let mut reports = Vec::new();
        for state in self.services.values() {
            let Some(known) = &state.order else { continue };
            let is_over = now_ms >= known.verdict_ms + REPORTED_AFTER_VERDICT_MS;
            if known.is_verdict_stored && is_over {
                continue;
            }
            let order = known.order.clone();
            reports.push(RolloutReport {
                entry: self.entry.clone(),
                incarnation: self.incarnation,
                age_ms: (now_ms as i64 - known.ordered_ms).max(0) as u64,
                phase: known.phase(now_ms),
                old_in_use: self.usage.old_in_use(&order.service, &order.to),
                standing_verdict: known.verdict,
                started: known.started,
                new_started: known.new_started,
                usual_duration_ms: state.durations.usual_ms(),
                routes: known.evidence.routes(),
                upstreams: known.evidence.upstreams(&known.canary),
                order,
            });
        }
        reports.sort_unstable_by(|a, b| a.order.service.cmp(&b.order.service));
        reports
    }

    /// Applies what the owner of a roll-out tells; ignored if it is about another order.
    pub fn apply_directive(&mut self, directive: &RolloutDirective, now_ms: u64) {
        let Some(state) = self.services.get_mut(&directive.order.service) else { return };
        let Some(order) = state.order.as_mut().filter(|it| it.order == directive.order) else {
            return;
        };
        order.apply_directive(directive, now_ms);
        state.update_canary_part();
    }

    /// Returns `rollout/SERVICE` for each order to which the platform shows no verdict.
    pub fn subjects(&self) -> Vec<Arc<str>> {
        let pending = self
            .services
            .iter()
            .filter(|(_, it)| it.order.as_ref().is_some_and(|order| !order.is_verdict_stored));
        let mut subjects: Vec<Arc<str>> =
            pending.map(|(service, _)| format!("rollout/{service}").into()).collect();
        subjects.sort_unstable();
        subjects
    }

    /// Tells whether this entry needs upstreams of the old version of a service: for calls in progress
    /// or for stage results that they hold.
    pub fn needs_old(&self, service: &str) -> bool {
        let order = self.order_of(service).filter(|it| !it.is_verdict_stored);
        order.is_some_and(|it| self.usage.old_in_use(service, &it.order.to) > 0)
    }

    fn order_of(&self, service: &str) -> Option<&OrderState> {
        self.services.get(service)?.order.as_ref()
    }
}
