//! Applies the platform's updates, whether this entry has read them or received them from another one,
//! and keeps them for the entries that follow this one.

use std::sync::{Arc, Mutex};

use log::{info, warn};
use tokio::sync::watch;
use yuccatrail_core::{
    FastSet,
    ownership::{EntryAddress, ListedEntries},
    platform_updates::{EntryChange, PlatformUpdate, UpdateLog, UpstreamChange},
    revision::Revision,
    rollout::RolloutObject,
    upstreams::{ListUpdate, UpstreamRecord},
};
use yuccatrail_rpc::entries::{FollowerState, UpdatesReply};

use crate::relay::{
    peers::own_address,
    state::{Relay, lock},
};

/// Updates for followers, and the list of entries.
#[derive(Debug)]
pub(crate) struct Updates {
    log: Mutex<UpdateLog>,
    /// Sent to whenever a follower may get something new.
    changed: watch::Sender<()>,
    entries: Mutex<EntryList>,
}

#[derive(Debug, Default)]
struct EntryList {
    listed: ListedEntries,
    revision: Revision,
}

impl Updates {
    /// Creates an empty log of this run of the entry.
    pub(crate) fn new() -> Self {
        Self {
            log: Mutex::new(UpdateLog::new(rand::random())),
            changed: watch::Sender::new(()),
            entries: Mutex::default(),
        }
    }

    /// Returns a receiver that is notified whenever a follower may get something new.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Wakes the followers, for instance because of a new configuration.
    pub(crate) fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Tells whether the platform lists an entry, according to the list and its changes so far.
    pub(crate) fn is_entry_listed(&self, name: &str) -> bool {
        lock(&self.entries).listed.is_listed(name)
    }
}

impl Relay {
    /// Applies an update and keeps it for followers.
    pub(crate) fn apply_update(self: &Arc<Self>, update: PlatformUpdate) {
        let now_ms = self.now_ms();
        let is_empty = match &update {
            PlatformUpdate::Upstreams { revision, records } => {
                info!(upstreams = records.len(), revision:% = revision; "upstreams listed");
                let records = records.clone();
                self.upstreams().update(ListUpdate::Snapshot(records), *revision, now_ms);
                false
            }
            PlatformUpdate::UpstreamChanges { revision, changes } => {
                for change in changes {
                    log_upstream_change(change);
                    self.upstreams().update(list_update(change), *revision, now_ms);
                }
                self.upstreams().confirm(*revision);
                changes.is_empty()
            }
            PlatformUpdate::Evacuations { revision, listed } => {
                let changed = self.upstreams().replace_evacuated(listed, *revision, now_ms);
                log_evacuations(&changed);
                false
            }
            PlatformUpdate::EvacuationChanges { revision, changes } => {
                let mut upstreams = self.upstreams();
                for (name, evacuated_at) in changes {
                    if upstreams.set_evacuated(name, *evacuated_at, *revision, now_ms) {
                        log_evacuations(&[(name.clone(), evacuated_at.is_some())]);
                    }
                }
                log_evacuations(&upstreams.confirm_evacuations(*revision, now_ms));
                false
            }
            PlatformUpdate::Rollouts { revision, listed } => {
                info!(rollouts = listed.len(), revision:% = revision; "roll-outs listed");
                for (name, object) in listed {
                    log_rollout_change(name, object.as_ref());
                }
                self.upstreams().rollouts_mut().replace(listed, *revision, now_ms);
                false
            }
            PlatformUpdate::RolloutChanges { revision, changes } => {
                for (name, object) in changes {
                    log_rollout_change(name, object.as_ref());
                    let mut upstreams = self.upstreams();
                    upstreams.rollouts_mut().change(name, object.clone(), *revision, now_ms);
                }
                self.upstreams().rollouts_mut().confirm(*revision);
                changes.is_empty()
            }
            PlatformUpdate::Entries { revision, entries } => {
                self.replace_entries(entries, *revision, now_ms);
                false
            }
            PlatformUpdate::EntryChanges { changes } => {
                self.change_entries(changes);
                changes.is_empty()
            }
            PlatformUpdate::Recovered => {
                self.upstreams().begin_removal_grace(now_ms);
                false
            }
        };
        if !is_empty {
            self.publish(update);
        }
    }

    /// Keeps an update for followers and starts what it has made possible.
    fn publish(self: &Arc<Self>, update: PlatformUpdate) {
        lock(&self.updates.log).append(update);
        self.updates.notify();
        self.stages.start_all_calls(self);
    }

    /// Applies the upstreams of a list of which only a part could be read; the others stay as they are
    /// known.
    pub(crate) fn apply_partial_upstreams(self: &Arc<Self>, records: Vec<UpstreamRecord>) {
        warn!(upstreams = records.len(); "only a part of the upstreams can be listed");
        let revision = self.upstreams().revisions().upstreams;
        self.upstreams().update(ListUpdate::Part(records.clone()), revision, self.now_ms());
        let changes = records.into_iter().map(UpstreamChange::Listed).collect();
        self.publish(PlatformUpdate::UpstreamChanges { revision, changes });
    }

    /// Applies the entries of a list of which only a part could be read.
    pub(crate) fn apply_partial_entries(self: &Arc<Self>, changes: Vec<EntryChange>) {
        warn!(entries = changes.len(); "only a part of the entries can be listed");
        if self.upstreams().has_entries() {
            self.apply_update(PlatformUpdate::EntryChanges { changes });
            return;
        }
        // The entries share limits, so fewer of them than there are must not count as all.
        for change in changes {
            let EntryChange::Listed(entry) = change else { continue };
            self.peers.set_address(self, entry);
        }
    }

    fn replace_entries(&self, entries: &[EntryAddress], revision: Revision, now_ms: u64) {
        let names: FastSet<String> = entries.iter().map(|it| it.name.clone()).collect();
        if !names.contains(&self.settings.name) {
            self.peers.register_again();
        }
        let removed = {
            let mut list = lock(&self.updates.entries);
            list.revision = list.revision.max(revision);
            list.listed.replace(names, revision, now_ms)
        };
        for name in &removed {
            self.peers.remove(name);
        }
        for entry in entries {
            self.peers.set_address(self, entry.clone());
        }
        self.share_limits();
    }

    fn change_entries(&self, changes: &[EntryChange]) {
        for change in changes {
            match change {
                EntryChange::Listed(entry) => {
                    lock(&self.updates.entries).listed.add(&entry.name);
                    self.peers.set_address(self, entry.clone());
                }
                EntryChange::Unlisted(name) => {
                    lock(&self.updates.entries).listed.remove(name);
                    self.peers.remove(name);
                }
            }
        }
        self.share_limits();
    }

    /// Removes entries that a restored platform lacks and that have not registered again in time.
    pub(crate) fn expire_entries(&self) {
        let expired = lock(&self.updates.entries).listed.take_expired(self.now_ms());
        if expired.is_empty() {
            return;
        }
        for name in &expired {
            self.peers.remove(name);
        }
        self.share_limits();
    }

    /// Divides the limits of upstreams among the entries that are known now.
    fn share_limits(&self) {
        let mut names = self.peers.names();
        names.push(self.settings.name.clone());
        self.retries().set_entries(names.len(), self.now_ms());
        self.upstreams().set_entries(names);
    }

    /// Returns the updates that a follower lacks.
    pub(crate) fn updates_for(&self, follower: FollowerState) -> UpdatesReply {
        let now_ms = self.now_ms();
        let config_version = self.table().map(|it| it.version());
        let corrections = self.upstreams().corrections(now_ms);
        if !self.follows_platform() || !self.upstreams().has_entries() {
            return UpdatesReply { cursor: None, config_version, updates: Vec::new(), corrections };
        }
        let (cursor, missed) = {
            let log = lock(&self.updates.log);
            (log.cursor(), follower.cursor.and_then(|it| log.since(it)))
        };
        let updates = missed.unwrap_or_else(|| self.complete_lists(now_ms));
        UpdatesReply { cursor: Some(cursor), config_version, updates, corrections }
    }

    /// Returns updates that contain the complete lists.
    fn complete_lists(&self, now_ms: u64) -> Vec<Arc<PlatformUpdate>> {
        let upstreams = self.upstreams();
        let revisions = upstreams.revisions();
        let records = upstreams.listed_records(now_ms);
        let listed = upstreams.listed_evacuations();
        let rollouts = upstreams.listed_rollouts();
        drop(upstreams);
        let mut entries = self.peers.addresses();
        entries.push(own_address(self));
        let list = lock(&self.updates.entries);
        entries.retain(|it| list.listed.is_listed(&it.name));
        let mut updates = Vec::new();
        // Before the upstreams, so that an order is known when the upstreams of its version appear.
        if self.rollouts.is_enabled() {
            let revision = revisions.rollouts;
            updates.push(PlatformUpdate::Rollouts { revision, listed: rollouts });
        }
        updates.extend([
            PlatformUpdate::Upstreams { revision: revisions.upstreams, records },
            PlatformUpdate::Evacuations { revision: revisions.evacuations, listed },
            PlatformUpdate::Entries { revision: list.revision, entries },
        ]);
        updates.into_iter().map(Arc::new).collect()
    }
}

fn list_update(change: &UpstreamChange) -> ListUpdate {
    match change {
        UpstreamChange::Listed(record) => ListUpdate::Listed(record.clone()),
        UpstreamChange::Unlisted(id) => ListUpdate::Unlisted { id: id.clone() },
    }
}

fn log_upstream_change(change: &UpstreamChange) {
    match change {
        UpstreamChange::Listed(record) => {
            info!(
                upstream:% = record.id,
                service:% = record.service,
                version:% = record.version,
                address:% = record.address,
                is_draining = record.is_draining,
                cold_remaining_ms = record.cold_remaining_ms,
                sequence = record.sequence,
                started_unix_ms = record.started_unix_ms.unwrap_or_default();
                "upstream listed"
            );
        }
        UpstreamChange::Unlisted(id) => info!(upstream:% = id; "upstream no longer listed"),
    }
}

fn log_rollout_change(name: &str, object: Option<&RolloutObject>) {
    let Some(object) = object else {
        info!(service = name; "roll-out removed or not readable");
        return;
    };
    let order = &object.order;
    info!(
        service = name,
        to:% = order.to,
        duration_ms = order.duration_ms,
        created_at = order.created_at,
        revision = object.revision,
        state:? = object.state();
        "roll-out listed"
    );
}

/// Logs data centres whose state changed, each with whether it is evacuated now.
pub(crate) fn log_evacuations(changed: &[(String, bool)]) {
    for (data_centre, is_out) in changed {
        info!(data_centre = data_centre, is_out = *is_out; "evacuation of data centre changed");
    }
}
