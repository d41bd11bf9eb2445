//! Processes, platform and network of one case.

use std::sync::Arc;

use yuccatrail_core::{
    control::{
        ChangeFlow, ChangeId, ConfigRecord, ControlState, ControlUpdate, HistoryEntry,
        OperationsChange, OperationsRecord, Sabotage, Versions,
    },
    ids::Digest,
};

use crate::{harness::sabotage, object::Object};

/// Number of processes.
pub(crate) const PROCESSES: usize = 5;
/// A valid document that no operator promotes.
const FOREIGN_TEXT: &str = "# Never promoted.\n";

pub(crate) struct ControlWorld {
    off: Option<Sabotage>,
    pub(crate) config: Object<ConfigRecord>,
    pub(crate) operations: Object<OperationsRecord>,
    processes: Vec<ControlState>,
    floors: Vec<Versions>,
    inbox: Vec<(usize, ControlUpdate)>,
    pub(crate) is_up: bool,
    pub(crate) mask: u8,
    next_author: u128,
}

impl ControlWorld {
    pub(crate) fn start(off: Option<Sabotage>) -> Self {
        let mut world = Self {
            off,
            config: Object::new(true),
            operations: Object::new(false),
            processes: vec![],
            floors: vec![Versions::default(); PROCESSES],
            inbox: vec![],
            is_up: true,
            mask: 0,
            next_author: 0,
        };
        for _ in 0..PROCESSES {
            world.processes.push(world.process());
        }
        world
    }

    /// A process that has just started.
    fn process(&self) -> ControlState {
        let mut process = ControlState::new();
        sabotage!(process, self.off);
        assert!(
            process.serving_document().is_err(),
            "a process serves before it holds control state"
        );
        process
    }

    fn change_id(&mut self) -> ChangeId {
        self.next_author += 1;
        ChangeId(self.next_author)
    }

    pub(crate) fn promote(&mut self, text: u8, is_strict: bool) {
        let expected = is_strict.then(|| self.config.version());
        let text = Arc::from(format!("[[customer]]\nname = \"customer-{text}\"\n"));
        let mut flow = ChangeFlow::promote(text, expected, self.change_id()).expect("a valid text");
        sabotage!(flow, self.off);
        self.config.begin(flow);
    }

    pub(crate) fn operate(&mut self, change: u8) {
        let name = format!("centre-{}", change / 2);
        let change = match change % 2 {
            0 => OperationsChange::DataCentreOut(name),
            _ => OperationsChange::DataCentreIn(name),
        };
        let mut flow = ChangeFlow::change_operations(change, self.change_id());
        sabotage!(flow, self.off);
        self.operations.begin(flow);
    }

    /// What a process reads from the platform.
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

    /// Tells whether two processes reach each other.
    fn is_connected(&self, one: usize, other: usize) -> bool {
        (self.mask >> one) & 1 == (self.mask >> other) & 1
    }

    /// Lets the processes connected with `first` exchange in a ring, in as many rounds as there are
    /// processes, and returns the versions on which they agree.
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
            assert_eq!(self.processes[process].versions(), versions, "connected processes differ");
        }
        versions
    }

    pub(crate) fn watch(&mut self, process: usize) {
        if self.is_up {
            self.inbox.push((process, self.published()));
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize) {
        if self.is_connected(from, to) {
            let versions = self.processes[to].versions();
            self.inbox.push((to, self.processes[from].update_for(versions)));
        }
    }

    pub(crate) fn deliver(&mut self, index: usize, is_repeated: bool) {
        if index >= self.inbox.len() {
            return;
        }
        let (process, update) = self.inbox[index].clone();
        if !is_repeated {
            self.inbox.remove(index);
        }
        self.processes[process].adopt(update);
    }

    pub(crate) fn restart(&mut self, process: usize) {
        self.processes[process] = self.process();
        self.floors[process] = Versions::default();
    }

    /// Offers another record under the version in force.
    pub(crate) fn forge(&mut self, process: usize) {
        let version = self.processes[process].versions().config;
        self.offer(process, version, Digest::of(FOREIGN_TEXT.as_bytes()));
    }

    /// Offers a newer record whose text was changed on the way.
    pub(crate) fn garble(&mut self, process: usize) {
        let version = self.processes[process].versions().config + 1;
        self.offer(process, version, Digest([7; 32]));
    }

    fn offer(&mut self, process: usize, version: u64, digest: Digest) {
        let config = Some(ConfigRecord { version, digest, text: Arc::from(FOREIGN_TEXT) });
        self.processes[process].adopt(ControlUpdate { config, operations: None });
    }

    pub(crate) fn raise_floors(&mut self) {
        for (process, floor) in self.processes.iter().zip(&mut self.floors) {
            let versions = process.versions();
            assert!(!floor.has_newer_than(versions), "versions fell at a process");
            *floor = versions;
        }
    }

    pub(crate) fn check_records(&self) {
        self.config.check();
        self.operations.check();
        for process in &self.processes {
            let Some(held) = process.config() else { continue };
            let is_held =
                |it: &HistoryEntry| it.version == held.version && it.digest == held.digest;
            assert!(self.config.log.iter().any(is_held), "a record in force was never accepted");
        }
    }

    pub(crate) fn heal(mut self) {
        // Without the platform, connected processes agree on the newest state among them.
        for process in 0..PROCESSES {
            self.gossip(process);
        }
        self.mask = 0;
        self.gossip(0);
        self.config.finish();
        self.operations.finish();
        let published = self.published();
        self.processes[0].adopt(published);
        let versions = self.gossip(0);
        assert_eq!(versions.config, self.config.version(), "the newest state is not in force");
        for process in &self.processes {
            assert_eq!(process.serving_document().is_ok(), versions.config > 0);
        }
        self.check_records();
    }
}
