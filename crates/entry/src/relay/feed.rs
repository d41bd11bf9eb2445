//! Reads the configuration and the lists from the platform's object store.

use std::sync::Arc;

use log::warn;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    EntryRecord, StoreChange, configuration_protocol, entries_protocol, evacuations_protocol,
    rollouts_protocol, servers_protocol,
};
use yuccatrail_core::{
    freshness::PlatformData,
    ownership::{EntryAddress, ReadingRole},
    platform_updates::{EntryChange, EvacuationChange, PlatformUpdate, UpstreamChange},
    rollout::RolloutObject,
    route_table::{Configuration, RouteTable},
    upstreams::{Evacuation, UpstreamRecord},
};
use yuccatrail_platform::{Client, PollProtocol, PollUpdate, Poller, PollerSettings};

use crate::relay::{
    reading::{reads_entries, reads_lists},
    state::{Relay, RelistSignal},
};

/// Delay between calls for frequent changes, in milliseconds for each entry: the number of readers and
/// of changes rises with the number of entries.
const COALESCE_MS_PER_ENTRY: u64 = 8;
/// Smallest delay between calls for frequent changes, in milliseconds.
const MIN_COALESCE_MS: u64 = 250;
/// Largest delay between calls for frequent changes, in milliseconds; less than half of the two seconds
/// within which a change has to take effect.
const MAX_COALESCE_MS: u64 = 800;

/// Updates of one kind of object, which is read while the role of this entry asks for it and listed
/// again on each relist signal.
struct Feed<T> {
    poller: Poller,
    updates: mpsc::Receiver<PollUpdate<T>>,
    relist_signal: watch::Receiver<RelistSignal>,
    is_active: fn(ReadingRole) -> bool,
    /// Signal that the poller knows of.
    known_signal: RelistSignal,
}

impl<T: Send + 'static> Feed<T> {
    /// Starts to follow a kind of object until `stop` is cancelled.
    fn start(
        relay: &Relay,
        client: Client,
        protocol: PollProtocol<T>,
        is_active: fn(ReadingRole) -> bool,
        stop: &CancellationToken,
    ) -> Self {
        let settings = PollerSettings::default();
        Self::start_with(relay, client, protocol, settings, is_active, stop)
    }

    /// Starts to follow a kind of object, like [`Self::start`], with other settings than the default.
    fn start_with(
        relay: &Relay,
        client: Client,
        protocol: PollProtocol<T>,
        settings: PollerSettings,
        is_active: fn(ReadingRole) -> bool,
        stop: &CancellationToken,
    ) -> Self {
        let mut relist_signal = relay.relist_signal();
        let known_signal = *relist_signal.borrow_and_update();
        let settings = PollerSettings { starts_paused: !is_active(known_signal.role), ..settings };
        let (poller, updates) = Poller::start(client, protocol, settings, stop);
        Self { poller, updates, relist_signal, is_active, known_signal }
    }

    /// Returns the next update; none when the feed has stopped.
    async fn next(&mut self) -> Option<PollUpdate<T>> {
        loop {
            tokio::select! {
                biased;
                changed = self.relist_signal.changed() => {
                    changed.ok()?;
                    self.apply_signal();
                }
                update = self.updates.recv() => return update,
            }
        }
    }

    fn apply_signal(&mut self) {
        let signal = *self.relist_signal.borrow_and_update();
        self.poller.set_paused(!(self.is_active)(signal.role));
        self.poller.set_slow_retry(signal.is_platform_unresponsive);
        let known = std::mem::replace(&mut self.known_signal, signal);
        let responds_again = known.is_platform_unresponsive && !signal.is_platform_unresponsive;
        if known.relists != signal.relists || responds_again {
            self.poller.refresh();
        }
    }

    /// Coalesces frequent changes for longer, the more entries there are.
    ///
    /// Only for lists whose changes may take effect a second late.
    fn coalesce_for(&self, entries: usize) {
        let coalesce_ms = entries as u64 * COALESCE_MS_PER_ENTRY;
        self.poller.set_busy_coalesce_ms(coalesce_ms.clamp(MIN_COALESCE_MS, MAX_COALESCE_MS));
    }

    /// Stops the feed and waits until its connection is closed.
    async fn close(self) {
        self.poller.close().await;
    }
}

/// Reads the configuration and activates newer versions.
pub(crate) async fn follow_configuration(
    relay: Arc<Relay>,
    client: Client,
    stop: CancellationToken,
) {
    let mut feed = Feed::start(&relay, client, configuration_protocol(), reads_lists, &stop);
    while let Some(update) = feed.next().await {
        let (items, is_snapshot) = match update {
            PollUpdate::Snapshot { items, .. } => (items, true),
            PollUpdate::Part { items } | PollUpdate::Changes { items, .. } => (items, false),
            PollUpdate::Unavailable(_) => {
                relay.check_platform_now.notify_one();
                continue;
            }
            PollUpdate::Available => continue,
        };
        for change in items {
            apply_configuration(&relay, change);
        }
        if is_snapshot {
            relay.mark_fresh(PlatformData::Configuration);
        }
    }
    feed.close().await;
}

fn apply_configuration(relay: &Relay, change: StoreChange<Configuration>) {
    match change {
        StoreChange::Present { content, .. } => {
            relay.activate_configuration(RouteTable::new(content), "platform");
        }
        StoreChange::Absent { name } => {
            warn!(object:% = name; "configuration removed; the last one stays active");
        }
        StoreChange::Unreadable { name, detail } => {
            warn!(object:% = name, detail:% = detail; "configuration can't be read");
        }
    }
}

/// Reads the list of evacuated data centres, which receive no requests.
pub(crate) async fn follow_evacuations(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, evacuations_protocol(), reads_lists, &stop);
    while let Some(update) = feed.next().await {
        match update {
            PollUpdate::Snapshot { items, revision } => {
                let listed = items.iter().filter_map(|change| {
                    let (data_centre, changed_at) = evacuation_change(change);
                    Some(Evacuation { data_centre, changed_at: changed_at? })
                });
                let listed = listed.collect();
                relay.apply_update(PlatformUpdate::Evacuations { revision, listed });
                relay.mark_fresh(PlatformData::Evacuations);
            }
            PollUpdate::Part { items } => {
                let revision = relay.upstreams().revisions().evacuations;
                let changes = items.iter().map(evacuation_change).collect();
                relay.apply_update(PlatformUpdate::EvacuationChanges { revision, changes });
            }
            PollUpdate::Changes { items, revision } => {
                let changes = items.iter().map(evacuation_change).collect();
                relay.apply_update(PlatformUpdate::EvacuationChanges { revision, changes });
            }
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
    }
    feed.close().await;
}

/// Returns what an object of the list says of its data centre; an unreadable one evacuates it too.
fn evacuation_change(change: &StoreChange<()>) -> EvacuationChange {
    let changed_at = match change {
        StoreChange::Present { changed_at, .. } => Some(*changed_at),
        StoreChange::Unreadable { .. } => Some(0),
        StoreChange::Absent { .. } => None,
    };
    (change.name().to_owned(), changed_at)
}

/// Reads the orders of roll-outs. Their changes are few, and a verdict has to take effect at once, so
/// they are not coalesced.
pub(crate) async fn follow_rollouts(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let settings = PollerSettings { coalesce_ms: 0, ..PollerSettings::default() };
    let protocol = rollouts_protocol();
    let mut feed = Feed::start_with(&relay, client, protocol, settings, reads_lists, &stop);
    feed.poller.set_busy_coalesce_ms(0);
    while let Some(update) = feed.next().await {
        match update {
            PollUpdate::Snapshot { items, revision } => {
                let listed = items.into_iter().map(rollout_change).collect();
                relay.apply_update(PlatformUpdate::Rollouts { revision, listed });
            }
            PollUpdate::Part { items } => {
                let revision = relay.upstreams().revisions().rollouts;
                let changes = readable_rollout_changes(items);
                relay.apply_update(PlatformUpdate::RolloutChanges { revision, changes });
            }
            PollUpdate::Changes { items, revision } => {
                let changes = readable_rollout_changes(items);
                relay.apply_update(PlatformUpdate::RolloutChanges { revision, changes });
            }
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
    }
    feed.close().await;
}

/// Returns the changes of roll-outs without the objects that can't be read. Such an object changes
/// nothing, while none would mean that the order was removed.
fn readable_rollout_changes(
    items: Vec<StoreChange<RolloutObject>>,
) -> Vec<(String, Option<RolloutObject>)> {
    let mut changes = Vec::with_capacity(items.len());
    for item in items {
        let is_unreadable = matches!(item, StoreChange::Unreadable { .. });
        let change = rollout_change(item);
        if !is_unreadable {
            changes.push(change);
        }
    }
    changes
}

/// Returns the name of a roll-out's object, and the object if it exists and can be read.
fn rollout_change(change: StoreChange<RolloutObject>) -> (String, Option<RolloutObject>) {
    match change {
        StoreChange::Present { name, content, .. } => (name, Some(content)),
        StoreChange::Absent { name } => (name, None),
        StoreChange::Unreadable { name, detail } => {
            warn!(object:% = name, detail:% = detail; "order of a roll-out can't be read and changes nothing");
            (name, None)
        }
    }
}

/// Reads the list of upstreams.
pub(crate) async fn follow_upstreams(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, servers_protocol(), reads_lists, &stop);
    while let Some(update) = feed.next().await {
        feed.coalesce_for(relay.upstreams().entry_count());
        match update {
            PollUpdate::Snapshot { items, revision } => {
                let records = listed_upstreams(items);
                relay.apply_update(PlatformUpdate::Upstreams { revision, records });
                relay.mark_fresh(PlatformData::Upstreams);
            }
            PollUpdate::Part { items } => relay.apply_partial_upstreams(listed_upstreams(items)),
            PollUpdate::Changes { items, revision } => {
                let changes = items.into_iter().map(upstream_change).collect();
                relay.apply_update(PlatformUpdate::UpstreamChanges { revision, changes });
            }
            PollUpdate::Available => {
                relay.set_follows_platform(true);
                relay.apply_update(PlatformUpdate::Recovered);
            }
            PollUpdate::Unavailable(_) => {
                relay.check_platform_now.notify_one();
                relay.set_follows_platform(false);
                relay.stages.start_all_calls(&relay);
            }
        }
    }
    feed.close().await;
}

/// Returns the records of a list that name an upstream to use.
fn listed_upstreams(items: Vec<StoreChange<UpstreamRecord>>) -> Vec<UpstreamRecord> {
    let changes = items.into_iter().map(upstream_change);
    let records = changes.filter_map(|it| match it {
        UpstreamChange::Listed(record) => Some(record),
        UpstreamChange::Unlisted(_) => None,
    });
    records.collect()
}

/// Returns a change of the list of upstreams; an unreadable record names no upstream to use.
fn upstream_change(change: StoreChange<UpstreamRecord>) -> UpstreamChange {
    match change {
        StoreChange::Present { content, .. } => UpstreamChange::Listed(content),
        StoreChange::Absent { name } => UpstreamChange::Unlisted(name),
        StoreChange::Unreadable { name, detail } => {
            warn!(upstream:% = name, detail:% = detail; "record of an upstream can't be read");
            UpstreamChange::Unlisted(name)
        }
    }
}

/// Reads the list of entries.
pub(crate) async fn follow_entries(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, entries_protocol(), reads_entries, &stop);
    while let Some(update) = feed.next().await {
        feed.coalesce_for(relay.upstreams().entry_count());
        match update {
            PollUpdate::Snapshot { items, revision } => {
                let changes = items.into_iter().filter_map(entry_change);
                let entries = changes.filter_map(|it| match it {
                    EntryChange::Listed(entry) => Some(entry),
                    EntryChange::Unlisted(_) => None,
                });
                let entries = entries.collect();
                relay.apply_update(PlatformUpdate::Entries { revision, entries });
            }
            PollUpdate::Part { items } => {
                let changes = items.into_iter().filter_map(entry_change).collect();
                relay.apply_partial_entries(changes);
            }
            PollUpdate::Changes { items, .. } => {
                let changes = items.into_iter().filter_map(entry_change).collect();
                relay.apply_update(PlatformUpdate::EntryChanges { changes });
            }
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
    }
    feed.close().await;
}

/// Returns a change of the list of entries; none for an unreadable record, which changes nothing.
fn entry_change(change: StoreChange<EntryRecord>) -> Option<EntryChange> {
    match change {
        StoreChange::Present { name, content, .. } => Some(EntryChange::Listed(EntryAddress {
            name,
            peer_address: content.peer_address,
            cpu_share: content.cpu_share,
            data_centre: content.data_centre.into(),
        })),
        StoreChange::Absent { name } => Some(EntryChange::Unlisted(name)),
        StoreChange::Unreadable { name, detail } => {
            warn!(entry:% = name, detail:% = detail; "record of an entry can't be read");
            None
        }
    }
}
