//! Processes, platform and network of one case.

use std::sync::Arc;

use yuccatrail_core::{
    control::{
        AuthorToken, ConfigRecord, ControlState, ControlUpdate, OperationsChange, OperationsRecord,
        PromoteFlow, Sabotage, Versions,
    },
    ids::Digest,
};

use crate::{harness::sabotage, object::Object};

/// Number of processes.
pub(crate) const PROCESSES: usize = 5;

pub(crate) struct World {
    off: Option<Sabotage>,
    pub(crate) config: Object<ConfigRecord>,
    pub(crate) operations: Object<OperationsRecord>,
    pub(crate) processes: Vec<ControlState>,
    pub(crate) floors: Vec<Versions>,
    pub(crate) inbox: Vec<(usize, ControlUpdate)>,
    pub(crate) is_up: bool,
    pub(crate) mask: u8,
    next_author: u128,
}

impl World {
    pub(crate) fn new(off: Option<Sabotage>) -> Self {
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
    pub(crate) fn process(&self) -> ControlState {
        let mut process = ControlState::new();
        sabotage!(process, self.off);
        assert!(process.may_serve().is_err(), "a process serves before it holds control state");
        process
    }

    fn author(&mut self) -> AuthorToken {
        self.next_author += 1;
        AuthorToken(self.next_author)
    }

    pub(crate) fn promote(&mut self, text: u8, is_strict: bool) {
        let expected = is_strict.then(|| self.config.version());
        let text = Arc::from(format!("[[customer]]\nname = \"customer-{text}\"\n"));
        let mut flow = PromoteFlow::promote(text, expected, self.author()).expect("a valid text");
        sabotage!(flow, self.off);
        self.config.begin(flow);
    }

    pub(crate) fn operate(&mut self, change: u8) {
        let name = format!("centre-{}", change / 2);
        let change = match change % 2 {
            0 => OperationsChange::DataCentreOut(name),
            _ => OperationsChange::DataCentreIn(name),
        };
        let mut flow = PromoteFlow::operate(change, self.author());
        sabotage!(flow, self.off);
        self.operations.begin(flow);
    }

    /// What a process reads from the platform.
    pub(crate) fn published(&self) -> ControlUpdate {
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
    pub(crate) fn is_connected(&self, one: usize, other: usize) -> bool {
        (self.mask >> one) & 1 == (self.mask >> other) & 1
    }

    /// Lets the processes connected with `first` exchange in a ring, in as many rounds as there are
    /// processes, and returns the versions on which they agree.
    pub(crate) fn gossip(&mut self, first: usize) -> Versions {
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

    pub(crate) fn forge(&mut self, process: usize, version_back: u64, is_digest_right: bool) {
        let text: Arc<str> = Arc::from("# Never promoted.\n");
        let right = Digest::of(text.as_bytes());
        let digest = if is_digest_right { right } else { Digest([7; 32]) };
        let held = self.processes[process].versions().config;
        // With the right digest only a version in force can tell that the record is forged.
        let version = if is_digest_right { held } else { held + 1 };
        let version = version.saturating_sub(version_back);
        let config = Some(ConfigRecord { version, digest, text });
        self.processes[process].adopt(ControlUpdate { config, operations: None });
    }
}
