//! Simulation of platform, entries and agents for one case, with a clock that advances in ticks.

use std::sync::Arc;

use yuccatrail_core::{
    control::{
        ConfigRecord, ControlState, ControlUpdate, OperationsChange, OperationsRecord,
        SYNC_INTERVAL_MS,
    },
    drain::{
        Freshness, FreshnessSettings, Gate, GateChange, GateSettings, GracefulShutdown, Sabotage,
        ShutdownPhase, ShutdownSettings,
    },
    ids::Digest,
    membership::InstanceState,
};

use crate::harness::sabotage;

pub(crate) const ENTRIES: usize = 2;
pub(crate) const AGENTS: usize = 2;
/// Length of a tick and delivery time of a message, in milliseconds.
pub(crate) const TICK_MS: u64 = 100;
/// Time within which an agent has to act on an accepted change, in milliseconds.
const PROPAGATION_BOUND_MS: u64 = 3_000;
/// Time within which an agent has to act on the control state of a connected entry, in
/// milliseconds.
const NEIGHBOUR_BOUND_MS: u64 = 2_000;

pub(crate) struct DrainSimulation {
    now_ms: u64,
    pub(crate) is_platform_up: bool,
    operations: OperationsRecord,
    pub(crate) entries: Vec<Entry>,
    pub(crate) agents: Vec<Agent>,
    pub(crate) are_entries_linked: bool,
}

pub(crate) struct Entry {
    control: ControlState,
    freshness: Freshness,
    pub(crate) is_paused: bool,
    pub(crate) is_platform_linked: bool,
    inbox: Vec<PendingReply>,
    next_sync_ms: u64,
}

pub(crate) struct Agent {
    name: String,
    data_centre: String,
    control: ControlState,
    gate: Gate,
    shutdown: GracefulShutdown,
    pub(crate) is_paused: bool,
    pub(crate) links: [bool; ENTRIES],
    inbox: Vec<PendingReply>,
    next_sync_ms: u64,
    queued: u32,
    pub(crate) running: u32,
    /// State of the upstream in the newest instance list delivered, with the version of the list.
    listed: (u64, InstanceState),
    /// Time and version of the accepted change that took the agent out of service.
    out_since: Option<(u64, u64)>,
    /// Times since which each route from the platform has been open without interruption.
    route_since_ms: [Option<u64>; 2 * ENTRIES],
    /// Times since which each entry has been connected and has held the change that takes the agent
    /// out of service.
    neighbour_since_ms: [Option<u64>; ENTRIES],
}

struct PendingReply {
    due_ms: u64,
    update: ControlUpdate,
    sent_ms: u64,
    age_ms: Option<u64>,
}

impl DrainSimulation {
    pub(crate) fn start(disabled: Option<Sabotage>) -> Self {
        let mut entries = vec![];
        for index in 0..ENTRIES {
            let mut freshness = Freshness::new(FreshnessSettings::default(), 0);
            sabotage!(freshness, disabled);
            let control = ControlState::new();
            let (is_paused, is_platform_linked) = (false, true);
            entries.push(Entry {
                control,
                freshness,
                is_paused,
                is_platform_linked,
                inbox: vec![],
                next_sync_ms: TICK_MS * (2 * index as u64 + 1),
            });
        }
        let agents = (0..AGENTS).map(|index| Agent::new(index, disabled)).collect();
        let operations = OperationsRecord::initial();
        let (is_platform_up, are_entries_linked) = (true, true);
        let mut simulation =
            Self { now_ms: 0, is_platform_up, operations, entries, agents, are_entries_linked };
        simulation.advance(20);
        simulation
    }

    /// Accepts one of the possible changes by operators; the second half of them brings everything
    /// back into service.
    pub(crate) fn change(&mut self, number: usize) {
        let (index, kind) = (number % AGENTS, number / AGENTS);
        let change = match kind {
            0 => OperationsChange::DataCentreOut(format!("centre-{index}")),
            1 => OperationsChange::UpstreamLeave(format!("engine-{index}")),
            2 => OperationsChange::DataCentreIn(format!("centre-{index}")),
            _ => OperationsChange::UpstreamReturn(format!("engine-{index}")),
        };
        if !self.is_platform_up {
            return;
        }
        if let Some(next) = self.operations.with_change(&change) {
            self.operations = next;
        }
        for agent in &mut self.agents {
            let is_out = agent.is_out_by(&self.operations);
            let accepted = (self.now_ms, self.operations.version);
            agent.out_since = is_out.then(|| agent.out_since.unwrap_or(accepted));
        }
    }

    pub(crate) fn submit(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        if agent.is_paused || agent.gate.may_accept(self.now_ms).is_err() {
            return;
        }
        let is_listed_leaving = agent.listed.1 == InstanceState::Leaving;
        assert!(
            !is_listed_leaving,
            "work is accepted although the instance list shows the agent as leaving"
        );
        assert!(agent.shutdown.is_ready(), "work is accepted during shutdown");
        agent.queued += 1;
    }

    pub(crate) fn list(&mut self, agent: usize, version: u64) {
        let agent = &mut self.agents[agent];
        // List versions with odd numbers show the agent as leaving.
        let state = match version % 2 {
            0 => InstanceState::Live,
            _ => InstanceState::Leaving,
        };
        if version >= agent.listed.0 {
            agent.listed = (version, state);
        }
        let change = agent.gate.set_listed(version, state);
        agent.on_gate_change(change);
    }

    pub(crate) fn stop(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.shutdown.begin(self.now_ms);
        let change = agent.gate.stop();
        agent.on_gate_change(change);
    }

    /// Pauses an agent repeatedly and lets it run for one tick in between.
    pub(crate) fn pause_repeatedly(&mut self, agent: usize, ticks: u64, times: u64) {
        for _ in 0..times {
            self.agents[agent].is_paused = true;
            self.advance(ticks);
            self.agents[agent].is_paused = false;
            self.advance(1);
            self.submit(agent);
        }
    }

    pub(crate) fn advance(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now_ms += TICK_MS;
            self.track_routes();
            for entry in 0..ENTRIES {
                self.run_entry(entry);
            }
            for agent in 0..AGENTS {
                self.run_agent(agent);
            }
        }
    }

    /// Ends all failures and checks that work is dispatched again.
    pub(crate) fn recover(mut self) {
        self.is_platform_up = true;
        self.are_entries_linked = true;
        for entry in &mut self.entries {
            entry.is_paused = false;
            entry.is_platform_linked = true;
        }
        for agent in &mut self.agents {
            agent.is_paused = false;
            agent.links = [true; ENTRIES];
        }
        for number in 0..4 * AGENTS {
            self.change(number);
        }
        self.advance(50);
        for index in 0..AGENTS {
            if !self.agents[index].is_in_service() {
                continue;
            }
            let running = self.agents[index].running;
            self.submit(index);
            self.advance(1);
            assert_eq!(self.agents[index].load(), (0, running + 1), "work is not dispatched again");
        }
    }

    /// Tracks the routes by which control state could have reached each agent.
    fn track_routes(&mut self) {
        let is_up = self.is_platform_up;
        let reads = |it: &Entry| is_up && !it.is_paused && it.is_platform_linked;
        let can_read_platform: Vec<bool> = self.entries.iter().map(reads).collect();
        for agent in &mut self.agents {
            for (index, entry) in self.entries.iter().enumerate() {
                let is_linked = agent.links[index] && !entry.is_paused;
                let via_other = can_read_platform[1 - index] && self.are_entries_linked;
                let direct = &mut agent.route_since_ms[index];
                track(direct, is_linked && can_read_platform[index], self.now_ms);
                let indirect = &mut agent.route_since_ms[ENTRIES + index];
                track(indirect, is_linked && via_other, self.now_ms);
                let held_version = entry.control.versions().operations;
                let is_informed =
                    agent.out_since.is_some_and(|(_, version)| held_version >= version);
                track(&mut agent.neighbour_since_ms[index], is_linked && is_informed, self.now_ms);
            }
        }
    }

    fn run_entry(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let published = self.published();
        let peer_reply = self.entries[1 - index].reply_to_sync(now_ms);
        let entry = &mut self.entries[index];
        if entry.is_paused {
            return;
        }
        entry.freshness.tick(now_ms);
        for reply in take_due(&mut entry.inbox, now_ms) {
            entry.control.adopt(reply.update);
            if let Some(age_ms) = reply.age_ms {
                entry.freshness.confirm(reply.sent_ms, age_ms);
            }
        }
        if now_ms < entry.next_sync_ms {
            return;
        }
        entry.next_sync_ms = now_ms + SYNC_INTERVAL_MS;
        if self.is_platform_up && entry.is_platform_linked {
            entry.inbox.push(PendingReply::new(now_ms, published, Some(0)));
        }
        if let Some((update, age_ms)) = peer_reply
            && self.are_entries_linked
        {
            entry.inbox.push(PendingReply::new(now_ms, update, age_ms));
        }
    }

    fn run_agent(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let sync_replies: Vec<_> = self.entries.iter().map(|it| it.reply_to_sync(now_ms)).collect();
        let agent = &mut self.agents[index];
        if agent.is_paused {
            return;
        }
        agent.dispatch(now_ms);
        agent.gate.tick(now_ms);
        for reply in take_due(&mut agent.inbox, now_ms) {
            agent.control.adopt(reply.update);
            let change = agent.gate.set_control(&agent.control);
            agent.on_gate_change(change);
            if let Some(age_ms) = reply.age_ms {
                agent.gate.confirm(reply.sent_ms, age_ms);
            }
            agent.dispatch(now_ms);
        }
        if now_ms >= agent.next_sync_ms {
            agent.next_sync_ms = now_ms + SYNC_INTERVAL_MS;
            for (entry, reply) in sync_replies.into_iter().enumerate() {
                let Some((update, age_ms)) = reply.filter(|_| agent.links[entry]) else {
                    continue;
                };
                agent.inbox.push(PendingReply::new(now_ms, update, age_ms));
            }
        }
        agent.advance_shutdown(now_ms);
    }

    fn published(&self) -> ControlUpdate {
        let config = ConfigRecord { version: 1, digest: Digest::of(b""), text: Arc::from("") };
        ControlUpdate { config: Some(config), operations: Some(self.operations.clone()) }
    }
}

impl Entry {
    /// Returns the entry's reply to a peer: its control state and the maximum age of that.
    fn reply_to_sync(&self, now_ms: u64) -> Option<(ControlUpdate, Option<u64>)> {
        if self.is_paused {
            return None;
        }
        Some((self.control.update_for(Default::default()), self.freshness.age_ms(now_ms)))
    }
}

impl Agent {
    fn new(index: usize, disabled: Option<Sabotage>) -> Self {
        let (name, data_centre) = (format!("engine-{index}"), format!("centre-{index}"));
        let settings = GateSettings {
            upstream: name.clone(),
            data_centre: data_centre.clone(),
            freshness: FreshnessSettings::default(),
        };
        let mut gate = Gate::new(settings, 0);
        sabotage!(gate, disabled);
        let mut shutdown = GracefulShutdown::new(ShutdownSettings::default());
        sabotage!(shutdown, disabled);
        Self {
            name,
            data_centre,
            control: ControlState::new(),
            gate,
            shutdown,
            is_paused: false,
            links: [true; ENTRIES],
            inbox: vec![],
            // Processes exchange control state at different times.
            next_sync_ms: TICK_MS * index as u64,
            queued: 0,
            running: 0,
            listed: (0, InstanceState::Live),
            out_since: None,
            route_since_ms: [None; 2 * ENTRIES],
            neighbour_since_ms: [None; ENTRIES],
        }
    }

    fn is_out_by(&self, operations: &OperationsRecord) -> bool {
        operations.is_data_centre_out(&self.data_centre)
            || operations.is_upstream_leaving(&self.name)
    }

    /// Drops queued calls when the gate closes.
    fn on_gate_change(&mut self, change: GateChange) {
        if let GateChange::Closed(_) = change {
            self.queued = 0;
        }
        assert!(
            !self.gate.is_draining() || self.queued == 0,
            "queued work is kept although the gate is closed"
        );
    }

    /// Dispatches every call that the gate permits and checks that none violates a bound.
    fn dispatch(&mut self, now_ms: u64) {
        while self.queued > 0 && self.gate.may_dispatch(now_ms).is_ok() {
            let has_lasted = |since_ms: &Option<u64>, bound_ms| {
                since_ms.is_some_and(|it| now_ms - it >= bound_ms)
            };
            let has_route =
                self.route_since_ms.iter().any(|it| has_lasted(it, PROPAGATION_BOUND_MS));
            let out_since_ms = self.out_since.map(|(since_ms, _)| since_ms);
            let is_late = has_lasted(&out_since_ms, PROPAGATION_BOUND_MS);
            assert!(!(has_route && is_late), "work is dispatched after the propagation bound");
            let exceeds_bound = |it| has_lasted(it, NEIGHBOUR_BOUND_MS);
            let is_neighbour_informed = self.neighbour_since_ms.iter().any(exceeds_bound);
            assert!(
                !is_neighbour_informed,
                "work is dispatched at an agent that a connected entry holds as out of service"
            );
            self.queued -= 1;
            self.running += 1;
        }
    }

    fn advance_shutdown(&mut self, now_ms: u64) {
        if let ShutdownPhase::Finished { cut } = self.shutdown.advance(now_ms, self.running) {
            assert_eq!((cut, self.running), (0, 0), "a graceful shutdown aborted work in progress");
        }
    }

    /// Tells whether the agent may accept work.
    pub(crate) fn is_in_service(&self) -> bool {
        self.listed.1 == InstanceState::Live && self.shutdown.is_ready()
    }

    /// Returns the numbers of queued and of running calls.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.queued, self.running)
    }
}

impl PendingReply {
    fn new(sent_ms: u64, update: ControlUpdate, age_ms: Option<u64>) -> Self {
        Self { due_ms: sent_ms + TICK_MS, update, sent_ms, age_ms }
    }
}

/// Maintains the time since which a condition has held without interruption.
fn track(since_ms: &mut Option<u64>, holds: bool, now_ms: u64) {
    *since_ms = holds.then(|| since_ms.unwrap_or(now_ms));
}

fn take_due(inbox: &mut Vec<PendingReply>, now_ms: u64) -> Vec<PendingReply> {
    let (due, later) = inbox.drain(..).partition(|it| it.due_ms <= now_ms);
    *inbox = later;
    due
}
