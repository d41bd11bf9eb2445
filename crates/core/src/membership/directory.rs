//! Directory of the instances that an entry knows.

use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::{AgentReport, InstanceRecord, InstanceRole, Sabotage, Upstream};
use crate::{
    FastMap, FastSet, control::OperationsRecord, ids::Incarnation, outcome::Reason,
    switch::MechanismSwitch,
};

new_key_type! {
    /// Key of an upstream in a [`Directory`]; it stays valid while the upstream is listed or has
    /// work in progress.
    pub struct UpstreamKey;
}

/// The platform's list of instances at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceList {
    /// Version of the list, which rises with each change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<InstanceRecord>,
}

/// Instances that an entry knows, with what it learned about them by direct contact.
#[derive(Clone, Debug)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    keys_by_name: FastMap<String, UpstreamKey>,
    entries: Vec<InstanceRecord>,
    list_version: u64,
    operations: Option<Arc<OperationsRecord>>,
    switch: MechanismSwitch<Sabotage>,
}

impl Default for Directory {
    fn default() -> Self {
        Self::new()
    }
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            upstreams: SlotMap::with_key(),
            keys_by_name: FastMap::default(),
            entries: Vec::new(),
            list_version: 0,
            operations: None,
            switch: MechanismSwitch::new(),
        }
    }

    /// Turns one mechanism off.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.switch.disable(mechanism);
    }

    /// Takes over the instance list; returns false if a newer one is known.
    pub fn apply_list(&mut self, list: InstanceList) -> bool {
        if list.version < self.list_version && !self.switch.is_disabled(Sabotage::ListVersionCheck)
        {
            return false;
        }
        self.list_version = list.version;
        self.entries.clear();
        let mut listed = FastSet::default();
        for record in list.instances {
            match record.role {
                InstanceRole::Entry => self.entries.push(record),
                InstanceRole::Upstream => {
                    listed.insert(self.list_upstream(record));
                }
            }
        }
        self.unlist_others(&listed);
        true
    }

    /// Takes over the operational state unless a newer one is known.
    pub fn set_operations(&mut self, operations: &Arc<OperationsRecord>) {
        if self.switch.is_disabled(Sabotage::Operations) {
            return;
        }
        if self.operations.as_ref().is_some_and(|it| it.version > operations.version) {
            return;
        }
        self.operations = Some(Arc::clone(operations));
        for upstream in self.upstreams.values_mut() {
            operate(upstream, operations);
        }
    }

    /// Takes over an answer of an agent.
    ///
    /// Returns the run of the agent that this answer shows to be gone; attempts that were handed to
    /// it have lost their agent.
    pub fn contact_succeeded(
        &mut self,
        key: UpstreamKey,
        report: AgentReport,
    ) -> Option<Incarnation> {
        self.upstreams.get_mut(key)?.contacted(report, &self.switch)
    }

    /// Notes at `now_ms` that an agent could not be reached or did not answer in time.
    ///
    /// The upstream gets no new work until its agent answers a question that was sent later.
    pub fn contact_failed(&mut self, key: UpstreamKey, now_ms: u64) {
        if self.switch.is_disabled(Sabotage::ContactFailure) {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.contact_failed(now_ms);
        }
    }

    /// Notes that a call for the upstream begins.
    pub fn begin_work(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.begin_work();
        }
    }

    /// Notes that a call for the upstream has ended.
    pub fn end_work(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.end_work();
        if upstream.is_forgettable() {
            self.forget(key);
        }
    }

    /// Lists the upstreams of a pool that may get new work.
    pub fn candidates(&self, pool: &str) -> Vec<UpstreamKey> {
        let mut candidates = Vec::new();
        for (key, upstream) in &self.upstreams {
            if upstream.pool() != Some(pool) || self.check(key).is_err() {
                continue;
            }
            candidates.push(key);
        }
        candidates
    }

    /// Tells whether an upstream may get new work, or why not.
    pub fn check(&self, key: UpstreamKey) -> Result<(), Reason> {
        match self.upstreams.get(key) {
            Some(upstream) => upstream.check(),
            None => Err(Reason::NoUpstream),
        }
    }

    /// Finds an upstream by key.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Finds the key of an upstream by name.
    pub fn key(&self, name: &str) -> Option<UpstreamKey> {
        self.keys_by_name.get(name).copied()
    }

    /// Iterates over all upstreams that are listed or have work in progress.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Entries in the list.
    pub fn entries(&self) -> &[InstanceRecord] {
        &self.entries
    }

    /// Version of the list in use; zero before the first.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Adds or renews one upstream of the list.
    ///
    /// Another address means another process, of which nothing is known yet, so it gets a key of
    /// its own; late answers of the former one then can't pass for its own.
    fn list_upstream(&mut self, record: InstanceRecord) -> UpstreamKey {
        let known = self.key(&record.name);
        let key = match known.filter(|it| self.upstreams[*it].address() == record.address) {
            Some(key) => {
                self.upstreams[key].relist(record, &self.switch);
                key
            }
            None => {
                let name = record.name.clone();
                let key = self.upstreams.insert(Upstream::new(record));
                self.keys_by_name.insert(name, key);
                key
            }
        };
        if let Some(operations) = &self.operations {
            operate(&mut self.upstreams[key], operations);
        }
        key
    }

    /// Takes new work from all upstreams that are not in the list and forgets those without work.
    fn unlist_others(&mut self, listed: &FastSet<UpstreamKey>) {
        let mut forgettable = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            if listed.contains(&key) {
                continue;
            }
            upstream.is_listed = self.switch.is_disabled(Sabotage::ListMembership);
            if upstream.is_forgettable() {
                forgettable.push(key);
            }
        }
        for key in forgettable {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        // The name may belong to a newer process by now.
        if self.key(upstream.name()) == Some(key) {
            self.keys_by_name.remove(upstream.name());
        }
    }
}

fn operate(upstream: &mut Upstream, operations: &OperationsRecord) {
    upstream.is_out = operations.is_data_centre_out(upstream.data_centre());
    upstream.is_leaving = operations.is_upstream_leaving(upstream.name());
}
