//! Decides on roll-outs at the entry that owns them and at its second.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::{
    FastMap, FastSet,
    rollout::{
        ExposureLimit, RolloutDirective, RolloutEvent, RolloutObject, RolloutOrder, RolloutReport,
        RolloutState, RolloutStatus, RolloutUpstreams, StatusWrite, WriteOutcome,
        phases::{Context, Rollout, Verdict},
        status_writer::StatusWriter,
    },
};

/// Verdicts on earlier or removed orders that are kept: a restored platform may list them again.
const KEPT_VERDICTS: usize = 64;

/// A roll-out and its status in the platform.
#[derive(Debug)]
struct TrackedRollout {
    rollout: Rollout,
    writer: StatusWriter,
}

/// State of the decider of all roll-outs that an entry owns or is second for.
///
/// Both merge the same reports and return directives, but only the owner calls [`Self::next_write`]. A
/// rollback has effect through the directives at once; a completion is decided by the call that returns
/// its write. From then on the verdict changes only if the platform shows another.
#[derive(Debug)]
pub struct RolloutDecider {
    limit: ExposureLimit,
    exchange_interval_ms: u64,
    rollouts: BTreeMap<Arc<str>, TrackedRollout>,
    upstreams: FastMap<Arc<str>, RolloutUpstreams>,
    /// Listed entries and the time since which each is listed.
    entries: FastMap<Arc<str>, u64>,
    /// Names that were set but whose time is not known yet.
    unseen_entries: Vec<Arc<str>>,
    kept_verdicts: VecDeque<(RolloutOrder, Verdict)>,
    events: Vec<RolloutEvent>,
    #[cfg(feature = "sabotage")]
    sabotage: Option<crate::rollout::RolloutSabotage>,
}

impl RolloutDecider {
    /// Creates a decider; entries send a report every `exchange_interval_ms`.
    pub fn new(limit: ExposureLimit, exchange_interval_ms: u64) -> Self {
        Self {
            limit,
            exchange_interval_ms,
            rollouts: BTreeMap::new(),
            upstreams: FastMap::default(),
            entries: FastMap::default(),
            unseen_entries: Vec::new(),
            kept_verdicts: VecDeque::new(),
            events: Vec::new(),
            #[cfg(feature = "sabotage")]
            sabotage: None,
        }
    }

    /// Disables a mechanism, so that tests can show that their oracle notices.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: crate::rollout::RolloutSabotage) {
        self.sabotage = Some(sabotage);
    }

    /// Takes over the orders as the entry knows them now; an order that is missing was removed.
    pub fn set_objects(&mut self, objects: &[RolloutObject], now_ms: u64) {
        let gone: Vec<Arc<str>> = self
            .rollouts
            .keys()
            .filter(|it| !objects.iter().any(|object| object.order.service == **it))
            .cloned()
            .collect();
        for service in gone {
            self.remove(&service);
        }
        for object in objects {
            let known = self.rollouts.get(&object.order.service);
            if known.is_some_and(|it| it.writer.is_outdated(object.revision, now_ms)) {
                continue;
            }
            self.apply_object(object, None, now_ms);
        }
    }

    /// Takes over an object; `told_ms` is the time of a write or read that returned it, if one did.
    fn apply_object(&mut self, object: &RolloutObject, told_ms: Option<u64>, now_ms: u64) {
        let service = &object.order.service;
        if self.rollouts.get(service).is_some_and(|it| it.rollout.order != object.order) {
            self.remove(service);
        }
        if !self.rollouts.contains_key(service) {
            self.track(object, now_ms);
        }
        let Some(tracked) = self.rollouts.get_mut(service) else { return };
        let state = object.state();
        let earlier = tracked.writer.stored.filter(|it| it.is_verdict());
        match told_ms {
            Some(told_ms) => tracked.writer.record(object.revision, state, told_ms),
            None => tracked.writer.record_listed(object.revision, state),
        }
        if let Some(verdict) = state.filter(|it| it.is_verdict()) {
            tracked.writer.needs_read = false;
            return tracked.rollout.adopt_verdict(verdict, now_ms, &mut self.events);
        }
        if let Some(state) = earlier {
            tracked.writer.reset_backoff();
            let order = object.order.clone();
            self.events.push(RolloutEvent::VerdictLost { order, state });
        }
    }

    fn track(&mut self, object: &RolloutObject, now_ms: u64) {
        let order = object.order.clone();
        let mut rollout = Rollout::new(order.clone(), now_ms);
        #[cfg(feature = "sabotage")]
        if let Some(sabotage) = self.sabotage {
            rollout.evidence_mut().sabotage(sabotage);
        }
        if let Some((_, verdict)) = self.kept_verdicts.iter().find(|it| it.0 == order) {
            rollout.restore_verdict(*verdict, now_ms);
        }
        let writer = StatusWriter::new(object.revision, object.state());
        self.rollouts.insert(order.service.clone(), TrackedRollout { rollout, writer });
        self.events.push(RolloutEvent::OrderSeen { order });
    }

    fn remove(&mut self, service: &str) {
        let Some(tracked) = self.rollouts.remove(service) else { return };
        let order = tracked.rollout.order.clone();
        if let Some(verdict) = tracked.rollout.verdict {
            self.kept_verdicts.retain(|it| it.0 != order);
            self.kept_verdicts.push_back((order.clone(), verdict));
            if self.kept_verdicts.len() > KEPT_VERDICTS {
                self.kept_verdicts.pop_front();
            }
        }
        self.events.push(RolloutEvent::OrderRemoved { order });
    }

    /// Takes over the upstreams of the services that have an order.
    pub fn set_upstreams(&mut self, upstreams: Vec<(Arc<str>, RolloutUpstreams)>) {
        self.upstreams = upstreams.into_iter().collect();
    }

    /// Takes over the names of all entries that are listed, this one included.
    pub fn set_entries(&mut self, names: &[String]) {
        let listed: FastSet<&str> = names.iter().map(String::as_str).collect();
        self.entries.retain(|name, _| listed.contains(&**name));
        self.unseen_entries.clear();
        for name in names {
            if !self.entries.contains_key(name.as_str()) {
                self.unseen_entries.push(name.as_str().into());
            }
        }
    }

    /// Merges a report that the entry `from` sent; this entry's own reports are merged as well. A report
    /// of another order than the one that is known counts nothing.
    pub fn merge_report(&mut self, from: &str, report: &RolloutReport, now_ms: u64) {
        let Some(tracked) = self.rollouts.get_mut(&report.order.service) else { return };
        if tracked.rollout.order != report.order || *report.entry != *from {
            return;
        }
        tracked.rollout.merge_report(report, now_ms, &mut self.events);
    }

    /// Advances the roll-outs and returns what entries have to do.
    pub fn directives(&mut self, now_ms: u64) -> Vec<RolloutDirective> {
        self.advance(false, now_ms);
        self.rollouts.values().map(|it| it.rollout.directive(now_ms)).collect()
    }

    fn advance(&mut self, may_complete: bool, now_ms: u64) {
        for name in self.unseen_entries.drain(..) {
            self.entries.insert(name, now_ms);
        }
        let none = RolloutUpstreams::default();
        for (service, tracked) in &mut self.rollouts {
            let context = Context {
                limit: self.limit,
                exchange_interval_ms: self.exchange_interval_ms,
                upstreams: self.upstreams.get(service).unwrap_or(&none),
                entries: &self.entries,
            };
            // The write that decides on a completion has to be able to start.
            let may_complete =
                may_complete && tracked.writer.can_write(RolloutState::Completed, now_ms);
            tracked.rollout.advance(context, may_complete, now_ms, &mut self.events);
            tracked.rollout.announce_phase(now_ms, &mut self.events);
        }
    }

    /// Returns a status that is to be written now. Only the owner may call this, and has to write it and
    /// to record the outcome.
    pub fn next_write(&mut self, now_ms: u64) -> Option<StatusWrite> {
        self.advance(true, now_ms);
        for (service, tracked) in &mut self.rollouts {
            let wanted = match tracked.rollout.verdict {
                Some(verdict) => verdict.state,
                None if tracked.writer.stored.is_none() => RolloutState::Running,
                None => continue,
            };
            if !tracked.writer.can_write(wanted, now_ms) {
                continue;
            }
            if let Some(verdict) = &mut tracked.rollout.verdict {
                verdict.is_final = true;
            }
            tracked.writer.begin(now_ms);
            return Some(StatusWrite {
                service: service.clone(),
                revision: tracked.writer.revision,
                status: RolloutStatus { state: wanted, to: tracked.rollout.order.to.clone() },
            });
        }
        None
    }

    /// Records the outcome of a write that [`Self::next_write`] returned.
    pub fn record_write(&mut self, write: &StatusWrite, outcome: WriteOutcome, now_ms: u64) {
        let Some(tracked) = self.rollouts.get_mut(&write.service) else { return };
        if tracked.rollout.order.to != write.status.to || !tracked.writer.end(write.revision) {
            return;
        }
        match outcome {
            WriteOutcome::Done { revision } => {
                tracked.writer.record(revision, Some(write.status.state), now_ms);
                tracked.writer.reset_backoff();
                if write.status.state.is_verdict() {
                    let state = write.status.state;
                    tracked.rollout.adopt_verdict(state, now_ms, &mut self.events);
                }
            }
            WriteOutcome::Conflict(Some(object)) => {
                tracked.writer.reset_backoff();
                self.apply_object(&object, Some(now_ms), now_ms);
            }
            WriteOutcome::Conflict(None) => self.remove(&write.service),
            WriteOutcome::Unknown => {
                tracked.writer.end_unknown(now_ms);
                let order = tracked.rollout.order.clone();
                let state = write.status.state;
                self.events.push(RolloutEvent::WriteUnknown { order, state });
            }
        }
    }

    /// Tells whether the object of a service has to be read before its next write.
    pub fn needs_read(&self, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|it| it.writer.needs_read)
    }

    /// Records the object of a service as read from the platform; none if it does not exist.
    pub fn record_read(&mut self, service: &str, object: Option<RolloutObject>, now_ms: u64) {
        match object {
            Some(object) => self.apply_object(&object, Some(now_ms), now_ms),
            None => self.remove(service),
        }
    }

    /// Returns the facts for the log since the last call.
    pub fn take_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.events)
    }
}

#[cfg(test)]
mod tests;
