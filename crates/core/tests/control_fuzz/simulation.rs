//! Simulation of processes, platform and network for one case.

use std::sync::Arc;

use yuccatrail_core::{
    control::{
        ChangeFlow, ChangeId, ConfigRecord, ControlState, ControlUpdate, HistoryEntry,
        OperationsChange, OperationsRecord, Sabotage, Versions,
    },
    ids::Digest,
};

use crate::{harness::sabotage, object::Object};

/// Number of simulated processes.
pub(crate) const PROCESSES: usize = 5;
/// A valid document that no operator promotes.
const UNPROMOTED_TEXT: &str = "# Never promoted.\n";

pub(crate) struct ControlSimulation {
    disabled: Option<Sabotage>,
    pub(crate) config: Object<ConfigRecord>,
    pub(crate) operations: Object<OperationsRecord>,
    processes: Vec<ControlState>,
    /// Versions that each process held after the last step.
    last_versions: Vec<Versions>,
    inbox: Vec<(usize, ControlUpdate)>,
    pub(crate) is_platform_up: bool,
    /// One bit for each process; processes with equal bits are connected.
    pub(crate) partition: u8,
    last_change_number: u128,
}

impl ControlSimulation {
    pub(crate) fn start(disabled: Option<Sabotage>) -> Self {
        let mut simulation = Self {
            disabled,
            config: Object::new(true),
            operations: Object::new(false),
            processes: vec![],
            last_versions: vec![Versions::default(); PROCESSES],
            inbox: vec![],
            is_platform_up: true,
            partition: 0,
            last_change_number: 0,
        };
        for _ in 0..PROCESSES {
            simulation.processes.push(simulation.new_process());
        }
        simulation
    }

    /// Returns a process that has just started.
    fn new_process(&self) -> ControlState {
        let mut process = ControlState::new();
        sabotage!(process, self.disabled);
        assert!(
            process.serving_document().is_err(),
            "a process serves before it holds any control state"
        );
        process
    }

    fn new_change_id(&mut self) -> ChangeId {
        self.last_change_number += 1;
        ChangeId(self.last_change_number)
    }

    pub(crate) fn promote(&mut self, text: u8, expects_version: bool) {
        let expected = expects_version.then(|| self.config.version());
        let text = Arc::from(format!("[[customer]]\nname = \"customer-{text}\"\n"));
        let mut flow = ChangeFlow::promote(text, expected, self.new_change_id())
            .expect("the document has to be valid");
        sabotage!(flow, self.disabled);
        self.config.begin(flow);
    }

    pub(crate) fn change_operations(&mut self, change: u8) {
        let name = format!("centre-{}", change / 2);
        let change = match change % 2 {
            0 => OperationsChange::DataCentreOut(name),
            _ => OperationsChange::DataCentreIn(name),
        };
        let mut flow = ChangeFlow::change_operations(change, self.new_change_id());
        sabotage!(flow, self.disabled);
        self.operations.begin(flow);
    }

    /// Returns the control state that a process reads from the platform.
    fn published(&self) -> ControlUpdate {
        let operations = self.operations.stored.as_ref().map(|it| it.1.record.clone());
        ControlUpdate {
            config: self.config.stored.as_ref().map(|it| it.1.record.clone()),
            operations: Some(operations.unwrap_or_else(OperationsRecord::initial)),
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let update = self.processes[from].update_for(self.processes[to].versions());
        self.processes[to].adopt(update);
    }

    /// Tells whether two processes are connected.
    fn is_connected(&self, one: usize, other: usize) -> bool {
        (self.partition >> one) & 1 == (self.partition >> other) & 1
    }

    /// Exchanges state in a ring among the processes connected with `first`, for as many rounds as
    /// there are processes, and returns the versions on which they agree.
    fn gossip(&mut self, first: usize) -> Versions {
        let ring: Vec<usize> = (0..PROCESSES).filter(|it| self.is_connected(first, *it)).collect();
        for _ in 0..PROCESSES {
            for index in 0..ring.len() {
                let (from, to) = (ring[index], ring[(index + 1) % ring.len()]);
                self.exchange(from, to);
                self.exchange(to, from);
            }
        }
        let versions = self.processes[first].versions();
        for process in ring {
            assert_eq!(
                self.processes[process].versions(),
                versions,
                "connected processes hold different versions"
            );
        }
        versions
    }

    pub(crate) fn watch(&mut self, process: usize) {
        if self.is_platform_up {
            self.inbox.push((process, self.published()));
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize) {
        if self.is_connected(from, to) {
            let versions = self.processes[to].versions();
            self.inbox.push((to, self.processes[from].update_for(versions)));
        }
    }

    pub(crate) fn deliver(&mut self, index: usize, is_duplicated: bool) {
        if index >= self.inbox.len() {
            return;
        }
        let (process, update) = self.inbox[index].clone();
        if !is_duplicated {
            self.inbox.remove(index);
        }
        self.processes[process].adopt(update);
    }

    pub(crate) fn restart(&mut self, process: usize) {
        self.processes[process] = self.new_process();
        self.last_versions[process] = Versions::default();
    }

    /// Offers a different record with the version in force.
    pub(crate) fn offer_conflicting(&mut self, process: usize) {
        let version = self.processes[process].versions().config;
        self.offer(process, version, Digest::of(UNPROMOTED_TEXT.as_bytes()));
    }

    /// Offers a newer record whose text does not match its digest.
    pub(crate) fn offer_corrupt(&mut self, process: usize) {
        let version = self.processes[process].versions().config + 1;
        self.offer(process, version, Digest([7; 32]));
    }

    fn offer(&mut self, process: usize, version: u64, digest: Digest) {
        let config = Some(ConfigRecord { version, digest, text: Arc::from(UNPROMOTED_TEXT) });
        self.processes[process].adopt(ControlUpdate { config, operations: None });
    }

    pub(crate) fn check_versions(&mut self) {
        for (process, last) in self.processes.iter().zip(&mut self.last_versions) {
            let versions = process.versions();
            assert!(!last.has_newer_than(versions), "a version decreased at a process");
            *last = versions;
        }
    }

    pub(crate) fn check_records(&self) {
        self.config.check();
        self.operations.check();
        for process in &self.processes {
            let Some(held) = process.config() else { continue };
            let is_held =
                |it: &HistoryEntry| it.version == held.version && it.digest == held.digest;
            assert!(
                self.config.log.iter().any(is_held),
                "a process holds a record that was never accepted"
            );
        }
    }

    pub(crate) fn recover(mut self) {
        // Without the platform, connected processes converge on the newest state among them.
        for process in 0..PROCESSES {
            self.gossip(process);
        }
        self.partition = 0;
        self.gossip(0);
        self.config.finish();
        self.operations.finish();
        let published = self.published();
        self.processes[0].adopt(published);
        let versions = self.gossip(0);
        assert_eq!(versions.config, self.config.version(), "the newest document is not in force");
        for process in &self.processes {
            assert_eq!(process.serving_document().is_ok(), versions.config > 0);
        }
        self.check_records();
    }
}
