//! Keeps the configuration and the lists up to date from the platform's object store.

use std::sync::Arc;

use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    StoreChange, configuration_protocol, evacuations_protocol, servers_protocol,
};
use yuccatrail_core::{
    freshness::PlatformData,
    route_table::{Configuration, RouteTable},
    upstreams::{Evacuation, ListUpdate, UpstreamRecord},
};
use yuccatrail_platform::{Client, PollProtocol, PollUpdate, Poller, PollerSettings};

use crate::relay::state::{Relay, RelistSignal};

/// Updates of one kind of object, which is listed again on each relist signal.
pub(crate) struct Feed<T> {
    poller: Poller,
    updates: mpsc::Receiver<PollUpdate<T>>,
    relist_signal: watch::Receiver<RelistSignal>,
}

impl<T: Send + 'static> Feed<T> {
    /// Starts to follow a kind of object until `stop` is cancelled.
    pub(crate) fn start(
        relay: &Relay,
        client: Client,
        protocol: PollProtocol<T>,
        stop: &CancellationToken,
    ) -> Self {
        let (poller, updates) = Poller::start(client, protocol, PollerSettings::default(), stop);
        Self { poller, updates, relist_signal: relay.relist_signal() }
    }

    /// Returns the next update; none when the feed has stopped.
    pub(crate) async fn next(&mut self) -> Option<PollUpdate<T>> {
        loop {
            tokio::select! {
                biased;
                changed = self.relist_signal.changed() => {
                    changed.ok()?;
                    let is_unresponsive = self.relist_signal.borrow_and_update().is_platform_unresponsive;
                    self.poller.set_slow_retry(is_unresponsive);
                    self.poller.refresh();
                }
                update = self.updates.recv() => return update,
            }
        }
    }

    /// Stops the feed and waits until its connection is closed.
    pub(crate) async fn close(self) {
        self.poller.close().await;
    }
}

/// Follows the configuration and activates newer versions.
pub(crate) async fn follow_configuration(
    relay: Arc<Relay>,
    client: Client,
    stop: CancellationToken,
) {
    let mut feed = Feed::start(&relay, client, configuration_protocol(), &stop);
    while let Some(update) = feed.next().await {
        let is_snapshot = matches!(update, PollUpdate::Snapshot { .. });
        for change in changes_of(update) {
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

/// Follows the list of evacuated data centres, which receive no requests.
pub(crate) async fn follow_evacuations(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, evacuations_protocol(), &stop);
    while let Some(update) = feed.next().await {
        let now_ms = relay.now_ms();
        match update {
            PollUpdate::Snapshot { items, revision } => {
                let listed: Vec<Evacuation> = items.iter().filter_map(evacuation_of).collect();
                let changed = relay.upstreams().replace_evacuated(&listed, revision, now_ms);
                log_evacuations(&changed);
                relay.mark_fresh(PlatformData::Evacuations);
            }
            PollUpdate::Changes { items, revision } => {
                let mut upstreams = relay.upstreams();
                for change in &items {
                    let name = object_name(change);
                    let evacuated_at = evacuation_of(change).map(|it| it.changed_at);
                    if upstreams.set_evacuated(name, evacuated_at, revision, now_ms) {
                        log_evacuations(&[(name.to_owned(), evacuated_at.is_some())]);
                    }
                }
                let changed = upstreams.confirm_evacuations(revision, now_ms);
                log_evacuations(&changed);
            }
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
    }
    feed.close().await;
}

/// Logs data centres whose state changed, each with whether it is evacuated now.
pub(crate) fn log_evacuations(changed: &[(String, bool)]) {
    for (data_centre, is_out) in changed {
        info!(data_centre = data_centre, is_out = *is_out; "evacuation of data centre changed");
    }
}

/// Returns the evacuation that an object of the list stands for; an unreadable one does too.
fn evacuation_of(change: &StoreChange<()>) -> Option<Evacuation> {
    let changed_at = match change {
        StoreChange::Present { changed_at, .. } => *changed_at,
        StoreChange::Unreadable { .. } => 0,
        StoreChange::Absent { .. } => return None,
    };
    Some(Evacuation { data_centre: object_name(change).to_owned(), changed_at })
}

/// Follows the list of upstreams.
pub(crate) async fn follow_upstreams(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let mut feed = Feed::start(&relay, client, servers_protocol(), &stop);
    while let Some(update) = feed.next().await {
        let now_ms = relay.now_ms();
        match update {
            PollUpdate::Snapshot { items, revision } => {
                info!(upstreams = items.len(), revision:% = revision; "upstreams listed");
                let records = items.into_iter().filter_map(record_of).collect();
                relay.upstreams().update(ListUpdate::Snapshot(records), revision, now_ms);
                relay.mark_fresh(PlatformData::Upstreams);
            }
            PollUpdate::Changes { items, revision } => {
                for change in items {
                    let update = list_update(change);
                    relay.upstreams().update(update, revision, now_ms);
                }
                relay.upstreams().confirm(revision);
            }
            PollUpdate::Available => {
                relay.set_follows_platform(true);
                relay.upstreams().begin_removal_grace(now_ms);
            }
            PollUpdate::Unavailable(_) => relay.set_follows_platform(false),
        }
        relay.stages.start_all_calls(&relay);
    }
    feed.close().await;
}

fn list_update(change: StoreChange<UpstreamRecord>) -> ListUpdate {
    let name = object_name(&change).to_owned();
    match record_of(change) {
        Some(record) => {
            info!(
                upstream:% = record.id,
                service:% = record.service,
                address:% = record.address,
                is_draining = record.is_draining,
                cold_remaining_ms = record.cold_remaining_ms,
                sequence = record.sequence;
                "upstream listed"
            );
            ListUpdate::Listed(record)
        }
        None => {
            info!(upstream:% = name; "upstream no longer listed");
            ListUpdate::Unlisted { id: name }
        }
    }
}

fn record_of(change: StoreChange<UpstreamRecord>) -> Option<UpstreamRecord> {
    match change {
        StoreChange::Present { content, .. } => Some(content),
        StoreChange::Absent { .. } => None,
        StoreChange::Unreadable { name, detail } => {
            warn!(upstream:% = name, detail:% = detail; "record of an upstream can't be read");
            None
        }
    }
}

/// Returns the changes of an update; a snapshot counts as one change per object.
fn changes_of<T>(update: PollUpdate<StoreChange<T>>) -> Vec<StoreChange<T>> {
    match update {
        PollUpdate::Snapshot { items, .. } => items,
        PollUpdate::Changes { items, .. } => items,
        PollUpdate::Unavailable(_) | PollUpdate::Available => Vec::new(),
    }
}

fn object_name<T>(change: &StoreChange<T>) -> &str {
    match change {
        StoreChange::Present { name, .. }
        | StoreChange::Absent { name }
        | StoreChange::Unreadable { name, .. } => name,
    }
}
