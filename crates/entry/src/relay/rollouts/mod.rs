//! Roll-outs of services to another software version: exchanges reports and directives with the other
//! entries, and decides on the roll-outs that this entry owns.
//!
//! Every entry reports to the entries that own a roll-out or are second for it. Both merge the reports,
//! so that the second one can go on at once, but only the owner decides and writes the status.

mod evidence;
mod report;
pub(crate) mod results;
mod writes;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use log::warn;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastSet,
    rollout::{
        ExposureLimit, NewUpstream, RolloutDecider, RolloutDirective, RolloutObject, RolloutOrder,
        RolloutReport, RolloutUpstreams,
    },
    upstreams::Upstreams,
};
use yuccatrail_platform::Client;

use crate::relay::{
    peers::{HELLO_TIMEOUT_MS, Owner, Peer, context_for},
    rollouts::{report::Reported, results::UnclaimedResults, writes::PendingCall},
    state::{Relay, lock},
};

pub(crate) use evidence::{Evidence, StreamPace};

/// Interval at which an entry applies and advances the roll-outs that it owns, in milliseconds; a third
/// of the interval between reports.
const TICK_MS: u64 = 100;
/// Age from which the directives of an owner that does not advance are not sent any more, in
/// milliseconds.
const MAX_DIRECTIVE_AGE_MS: u64 = 500;

/// Roll-outs of a relay; without a limit, it takes no part in any.
pub(crate) struct RelayRollouts {
    limit: Option<ExposureLimit>,
    services: Mutex<BTreeMap<Arc<str>, ServiceRollout>>,
    /// Shared work for whose owners this entry has reports.
    subjects: Mutex<Vec<Arc<str>>>,
    /// Stage results that no entry has received yet.
    pub(crate) results: UnclaimedResults,
}

/// Roll-out of one service.
struct ServiceRollout {
    decider: RolloutDecider,
    /// What the entries have to do; empty unless this entry is the owner.
    directives: Vec<RolloutDirective>,
    /// Time of these directives, in milliseconds.
    directed_ms: u64,
    /// Call to the platform that is in progress or to be repeated.
    call: PendingCall,
    /// What was logged and counted last.
    reported: Reported,
}

impl RelayRollouts {
    /// Creates the state of an entry without orders.
    pub(crate) fn new(limit: Option<ExposureLimit>) -> Self {
        Self {
            limit,
            services: Mutex::default(),
            subjects: Mutex::default(),
            results: UnclaimedResults::default(),
        }
    }

    /// Tells whether the settings enable roll-outs.
    pub(crate) fn is_enabled(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the shared work whose owners this entry reports to.
    pub(crate) fn subjects(&self) -> Vec<Arc<str>> {
        lock(&self.subjects).clone()
    }

    /// Merges the reports of another entry, and returns what it has to do as far as this entry owns the
    /// roll-outs.
    pub(crate) fn serve_exchange(
        &self,
        relay: &Relay,
        from: &str,
        reports: &[RolloutReport],
    ) -> Vec<RolloutDirective> {
        let Some(limit) = self.limit else { return Vec::new() };
        let now_ms = relay.now_ms();
        let mut services = lock(&self.services);
        let mut directives = Vec::new();
        for report in reports {
            let service = &report.order.service;
            let rollout = service_rollout(&mut services, relay, limit, service);
            rollout.decider.merge_report(from, report, now_ms);
            let age_ms = now_ms.saturating_sub(rollout.directed_ms);
            if age_ms > MAX_DIRECTIVE_AGE_MS {
                continue;
            }
            for directive in &rollout.directives {
                let mut directive = directive.clone();
                directive.age_ms += age_ms;
                directives.push(directive);
            }
        }
        directives
    }

    /// Locks the roll-outs; other locks are taken after this one.
    fn services(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, ServiceRollout>> {
        lock(&self.services)
    }

    /// Applies the entry's own reports and advances the roll-outs that it owns.
    fn tick(&self, relay: &Arc<Relay>, client: &Client, limit: ExposureLimit) {
        // After a pause of this process, the lists may lack a verdict.
        if relay.must_wait_for_lists() {
            return;
        }
        let now_ms = relay.now_ms();
        self.results.expire(relay, now_ms);
        let (objects, reports) = {
            let upstreams = relay.upstreams();
            let objects = upstreams.rollouts().objects().map(|(_, it)| it.clone());
            (objects.collect::<Vec<RolloutObject>>(), upstreams.rollouts().reports(now_ms))
        };
        self.update_subjects(relay, &reports);
        let mut services = self.services();
        if objects.is_empty() && services.is_empty() {
            return;
        }
        let mut entries = relay.peers.names();
        entries.push(relay.settings.name.clone());
        for object in &objects {
            let service = &object.order.service;
            let rollout = service_rollout(&mut services, relay, limit, service);
            let upstreams = upstreams_of(&relay.upstreams(), &object.order, now_ms);
            rollout.decider.set_objects(std::slice::from_ref(object), now_ms);
            rollout.decider.set_upstreams(vec![(service.clone(), upstreams)]);
            rollout.decider.set_entries(&entries);
            let report = reports.iter().find(|it| it.order == object.order);
            if let Some(report) = report {
                rollout.decider.merge_report(&relay.settings.name, report, now_ms);
            }
            if is_owner(relay, service) {
                rollout.advance(relay, client, service, now_ms);
            } else {
                rollout.directives.clear();
                // The owner logs the same facts.
                rollout.decider.take_events();
            }
            rollout.reported.update(relay, object, report, now_ms);
        }
        let listed: FastSet<&str> = objects.iter().map(|it| &*it.order.service).collect();
        services.retain(|service, rollout| {
            // Reports of other entries may arrive before the order.
            if listed.contains(&**service) || rollout.is_awaiting_order(now_ms) {
                return true;
            }
            rollout.decider.set_objects(&[], now_ms);
            rollout.reported.log_events(relay, rollout.decider.take_events());
            report::forget(relay, service);
            false
        });
    }

    /// Has the entries polled that own the roll-outs which this entry reports on.
    fn update_subjects(&self, relay: &Relay, reports: &[RolloutReport]) {
        let mut current = relay.upstreams().rollouts().subjects();
        current.extend(reports.iter().map(|it| subject(&it.order.service)));
        current.sort_unstable();
        current.dedup();
        let mut subjects = lock(&self.subjects);
        if *subjects == current {
            return;
        }
        *subjects = current;
        drop(subjects);
        relay.peers.invalidate_polled_entries();
    }
}

impl ServiceRollout {
    fn new(limit: ExposureLimit, exchange_interval_ms: u64, now_ms: u64) -> Self {
        Self {
            decider: RolloutDecider::new(limit, exchange_interval_ms),
            directives: Vec::new(),
            directed_ms: 0,
            call: PendingCall::default(),
            reported: Reported::new(now_ms),
        }
    }

    /// Advances the roll-out as its owner.
    fn advance(&mut self, relay: &Arc<Relay>, client: &Client, service: &Arc<str>, now_ms: u64) {
        self.directives = self.decider.directives(now_ms);
        self.directed_ms = now_ms;
        for directive in &self.directives {
            self.reported.record_directive(directive);
            relay.upstreams().rollouts_mut().apply_directive(directive, now_ms);
        }
        self.reported.log_events(relay, self.decider.take_events());
        if !self.call.may_begin(now_ms) {
            return;
        }
        if self.decider.needs_read(service) {
            self.call.begin();
            tokio::spawn(writes::read_order(relay.clone(), client.clone(), service.clone()));
        } else if let Some(write) = self.decider.next_write(now_ms) {
            self.call.begin();
            tokio::spawn(writes::write_status(relay.clone(), client.clone(), write));
        }
    }

    /// Tells whether only reports of other entries are known, and not yet the order.
    fn is_awaiting_order(&self, now_ms: u64) -> bool {
        self.reported.is_awaiting_order(now_ms)
    }
}

/// Applies and advances roll-outs until `stop` is cancelled; returns at once if they are disabled.
pub(crate) async fn run(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let Some(limit) = relay.rollouts.limit else { return };
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !stop.is_cancelled() {
        interval.tick().await;
        relay.rollouts.tick(&relay, &client, limit);
    }
}

/// Sends the reports that concern another entry to it, and applies what it returns as their owner.
pub(crate) async fn exchange(relay: &Relay, peer: &Peer) {
    if !relay.rollouts.is_enabled() {
        return;
    }
    let mut reports = relay.upstreams().rollouts().reports(relay.now_ms());
    reports
        .retain(|it| relay.peers.is_likely_owner(relay, &peer.name, &subject(&it.order.service)));
    if reports.is_empty() {
        return;
    }
    let own_name = relay.settings.name.clone();
    let call = peer.client.exchange_rollouts(context_for(HELLO_TIMEOUT_MS), own_name, reports);
    let directives = match call.await {
        Ok(directives) => directives,
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "failed to exchange reports on roll-outs");
            return;
        }
    };
    let now_ms = relay.now_ms();
    for directive in &directives {
        let service = &directive.order.service;
        let owner = relay.peers.owner(relay, &subject(service));
        // While two entries take themselves for the owner, each entry follows one of them.
        if !matches!(owner, Owner::Remote(it) if it.name == peer.name) {
            continue;
        }
        if let Some(rollout) = relay.rollouts.services().get_mut(service) {
            rollout.reported.record_directive(directive);
        }
        relay.upstreams().rollouts_mut().apply_directive(directive, now_ms);
    }
}

/// Returns the name of the shared work of deciding on a service's roll-out.
fn subject(service: &str) -> Arc<str> {
    format!("rollout/{service}").into()
}

fn is_owner(relay: &Relay, service: &str) -> bool {
    relay.is_ready() && matches!(relay.peers.owner(relay, &subject(service)), Owner::Local)
}

fn service_rollout<'a>(
    services: &'a mut BTreeMap<Arc<str>, ServiceRollout>,
    relay: &Relay,
    limit: ExposureLimit,
    service: &Arc<str>,
) -> &'a mut ServiceRollout {
    services.entry(service.clone()).or_insert_with(|| {
        ServiceRollout::new(limit, relay.peers.hello_interval_ms(), relay.now_ms())
    })
}

/// Returns the upstreams of an order's service, by version.
fn upstreams_of(upstreams: &Upstreams, order: &RolloutOrder, now_ms: u64) -> RolloutUpstreams {
    let mut found = RolloutUpstreams::default();
    for (_, upstream) in upstreams.of_service(&order.service) {
        let record = &upstream.record;
        if upstream.leaves() {
            continue;
        }
        if record.version != order.to {
            found.old_slots += record.slots;
            continue;
        }
        found.new.push(NewUpstream {
            id: record.id.as_str().into(),
            slots: record.slots,
            is_warm: !upstream.is_cold(now_ms),
        });
    }
    found.new.sort_unstable_by(|one, other| one.id.cmp(&other.id));
    found
}
