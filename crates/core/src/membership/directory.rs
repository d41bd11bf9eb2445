//! Directory of the instances known to an entry.

use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::{AgentReport, InstanceRecord, InstanceRole, Sabotage, Upstream};
use crate::{
    FastMap, FastSet, control::OperationsRecord, ids::Incarnation, outcome::Reason,
    switch::MechanismSwitch,
};

new_key_type! {
    /// Key of an upstream in a [`Directory`], valid while the upstream is listed or has calls in
    /// progress.
    pub struct UpstreamKey;
}

/// One version of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceList {
    /// Version number, which increases with each change.
    pub version: u64,
    /// All listed instances.
    pub instances: Vec<InstanceRecord>,
}

/// Instances known to an entry, with the reports of their agents.
#[derive(Clone, Debug)]
pub struct Directory {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    keys_by_name: FastMap<String, UpstreamKey>,
    entries: Vec<InstanceRecord>,
    list_version: u64,
    operations: Option<Arc<OperationsRecord>>,
    mechanisms: MechanismSwitch<Sabotage>,
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
            mechanisms: MechanismSwitch::new(),
        }
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Applies an instance list; returns false if a newer one is known.
    pub fn apply_list(&mut self, list: InstanceList) -> bool {
        if list.version < self.list_version
            && !self.mechanisms.is_disabled(Sabotage::ListVersionCheck)
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
                    listed.insert(self.upsert_listed(record));
                }
            }
        }
        self.unlist_all_except(&listed);
        true
    }

    /// Applies the operational state unless a newer one is known.
    pub fn set_operations(&mut self, operations: &Arc<OperationsRecord>) {
        if self.mechanisms.is_disabled(Sabotage::Operations) {
            return;
        }
        if self.operations.as_ref().is_some_and(|it| it.version > operations.version) {
            return;
        }
        self.operations = Some(Arc::clone(operations));
        for upstream in self.upstreams.values_mut() {
            apply_operations(upstream, operations);
        }
    }

    /// Applies the report from a response of an agent.
    ///
    /// Returns the incarnation of the agent process that the report shows to have ended; attempts
    /// submitted to it are lost.
    pub fn contact_succeeded(
        &mut self,
        key: UpstreamKey,
        report: AgentReport,
    ) -> Option<Incarnation> {
        self.upstreams.get_mut(key)?.apply_report(report, &self.mechanisms)
    }

    /// Records at `now_ms` that an agent could not be reached or did not respond in time.
    ///
    /// The upstream gets no new work until its agent responds to a request that was sent later.
    pub fn contact_failed(&mut self, key: UpstreamKey, now_ms: u64) {
        if self.mechanisms.is_disabled(Sabotage::ContactFailure) {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_failure(now_ms);
        }
    }

    /// Records that a call to the upstream begins.
    pub fn begin_work(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.begin_work();
        }
    }

    /// Records that a call to the upstream has ended.
    pub fn end_work(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.end_work();
        if upstream.is_removable() {
            self.remove(key);
        }
    }

    /// Returns the upstreams of a pool that are eligible for new work.
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

    /// Checks whether an upstream is eligible for new work.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not.
    pub fn check(&self, key: UpstreamKey) -> Result<(), Reason> {
        match self.upstreams.get(key) {
            Some(upstream) => upstream.check(),
            None => Err(Reason::NoUpstream),
        }
    }

    /// Returns an upstream by its key.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the key of an upstream by its name.
    pub fn key(&self, name: &str) -> Option<UpstreamKey> {
        self.keys_by_name.get(name).copied()
    }

    /// Iterates over all upstreams that are listed or have calls in progress.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns the entries in the instance list.
    pub fn entries(&self) -> &[InstanceRecord] {
        &self.entries
    }

    /// Returns the version of the applied instance list, or zero before the first.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Adds or updates one upstream of the instance list.
    ///
    /// A changed address means a new process without reports, so it gets a key of its own. Late
    /// responses of the former process are then not attributed to the new one.
    fn upsert_listed(&mut self, record: InstanceRecord) -> UpstreamKey {
        let known = self.key(&record.name);
        let key = match known.filter(|it| self.upstreams[*it].address() == record.address) {
            Some(key) => {
                self.upstreams[key].update_record(record, &self.mechanisms);
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
            apply_operations(&mut self.upstreams[key], operations);
        }
        key
    }

    /// Marks all upstreams other than `listed` as unlisted, and removes those without calls.
    fn unlist_all_except(&mut self, listed: &FastSet<UpstreamKey>) {
        let mut removable = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            if listed.contains(&key) {
                continue;
            }
            upstream.is_listed = self.mechanisms.is_disabled(Sabotage::ListMembership);
            if upstream.is_removable() {
                removable.push(key);
            }
        }
        for key in removable {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        // The name may already refer to a newer process.
        if self.key(upstream.name()) == Some(key) {
            self.keys_by_name.remove(upstream.name());
        }
    }
}

fn apply_operations(upstream: &mut Upstream, operations: &OperationsRecord) {
    upstream.is_out = operations.is_data_centre_out(upstream.data_centre());
    upstream.is_leaving = operations.is_upstream_leaving(upstream.name());
}
