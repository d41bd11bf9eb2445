//! The other entries: which are alive, which of them owns a stage service, and which to poll.

mod follow;
mod hello;
mod record;
mod serve;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use log::{info, warn};
use tarpc::context::{self, Context};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap, FastSet,
    ownership::{Candidate, EntryAddress, EntryView, OwnState, PeerState, ReaderPlan},
};
use yuccatrail_rpc::entries::{EntryPeerClient, HelloReply, QueueState};

use crate::relay::state::{Relay, lock};

pub(crate) use follow::follow_sources;
pub(crate) use hello::{HELLO_TIMEOUT_MS, own_address};
pub(crate) use record::{register, unregister};
pub(crate) use serve::serve;

/// Minimum interval between hellos to another entry, in milliseconds.
const HELLO_INTERVAL_MS: u64 = 300;
/// Interval between hellos per entry of the installation, in milliseconds, so that an owner, which
/// all other entries poll, answers at most 200 hellos a second.
const HELLO_INTERVAL_PER_ENTRY_MS: u64 = 5;

/// Subject whose owners are the registrars where a configuration has no stage services.
const NO_SHARED_WORK: &str = "registrars";

/// An entry that responds.
#[derive(Clone)]
pub(crate) struct Peer {
    /// Name of the entry.
    pub(crate) name: String,
    /// RPC client for the entry.
    pub(crate) client: EntryPeerClient,
    /// Cancelled when the entry no longer responds.
    pub(crate) lost: CancellationToken,
}

/// Another entry that is listed.
struct KnownEntry {
    address: EntryAddress,
    /// Cancelling it stops polling the entry; none while the entry is not polled.
    polling: Option<CancellationToken>,
    /// Connection to the entry; none until it has responded.
    peer: Option<Peer>,
    /// Queue states from its last hello reply, by service.
    queues: FastMap<String, QueueState>,
}

/// All entries, with the connections to those that are polled.
struct Directory {
    view: EntryView,
    known: FastMap<String, KnownEntry>,
    /// State of this entry for which the polled entries were last chosen; none if they have to be
    /// chosen again.
    polled_for: Option<OwnState>,
    /// Which entries read the platform, as of the last choice of polled entries.
    plan: ReaderPlan,
    /// Names of the entries that are told of new streams, as of that choice.
    registrars: FastSet<String>,
}

/// Owner of a stage service.
pub(crate) enum Owner {
    /// This entry.
    Local,
    /// Another entry.
    Remote(Peer),
}

/// The other entries.
pub(crate) struct Peers {
    directory: Mutex<Directory>,
    /// Notified when the platform does not list this entry.
    unregistered: Notify,
}

impl Peers {
    /// Creates the directory of the entry `own`, without other entries.
    pub(crate) fn new(own: Candidate) -> Self {
        let view = EntryView::new(own);
        let directory = Directory {
            view,
            known: FastMap::default(),
            polled_for: None,
            plan: ReaderPlan::default(),
            registrars: FastSet::default(),
        };
        Self { directory: Mutex::new(directory), unregistered: Notify::new() }
    }

    /// Returns the owner of a stage service.
    pub(crate) fn owner(&self, relay: &Relay, service: &str) -> Owner {
        let own = own_state(relay);
        let mut directory = lock(&self.directory);
        let Directory { view, known, .. } = &mut *directory;
        let owner = view.owner(service, own).and_then(|it| known.get(it));
        match owner.and_then(|it| it.peer.clone()) {
            Some(peer) => Owner::Remote(peer),
            None => Owner::Local,
        }
    }

    /// Returns the entry that asks the upstreams on behalf of all, which every entry polls.
    pub(crate) fn owner_of_queries(&self, relay: &Relay) -> Owner {
        let first = relay.stages.services().into_iter().min();
        self.owner(relay, first.as_deref().unwrap_or(NO_SHARED_WORK))
    }

    /// Returns the expected queueing time of a service at its owner, in milliseconds; none if this
    /// entry is the owner or the owner has not reported the queue.
    pub(crate) fn wait_ms(&self, relay: &Relay, service: &str) -> Option<u64> {
        self.queue_at_owner(relay, service)?.map(|it| it.wait_ms)
    }

    /// Tells whether a service has a backlog at its owner; none if this entry is the owner.
    pub(crate) fn has_backlog_at_owner(&self, relay: &Relay, service: &str) -> Option<bool> {
        Some(self.queue_at_owner(relay, service)?.is_some_and(|it| it.has_backlog))
    }

    /// Returns the queue state that the owner of a service last reported, if any; none if this
    /// entry is the owner.
    fn queue_at_owner(&self, relay: &Relay, service: &str) -> Option<Option<QueueState>> {
        let Owner::Remote(peer) = self.owner(relay, service) else { return None };
        let directory = lock(&self.directory);
        Some(directory.known.get(&peer.name).and_then(|it| it.queues.get(service)).cloned())
    }

    /// Starts polling the entries that have to be polled and stops polling the others.
    pub(crate) fn update_polled_entries(&self, relay: &Arc<Relay>) {
        let own = own_state(relay);
        if lock(&self.directory).polled_for == Some(own) {
            return;
        }
        let mut subjects = relay.stages.services();
        if subjects.is_empty() && relay.table().is_some() {
            subjects.push(NO_SHARED_WORK.into());
        }
        let mut directory = lock(&self.directory);
        let Directory { view, known, polled_for, plan, registrars } = &mut *directory;
        *polled_for = Some(own);
        *plan = view.reader_plan(own);
        *registrars = view.registrars(&subjects, own);
        // Entries that own roll-outs are polled, but are not told of new streams.
        subjects.extend(relay.rollouts.subjects());
        let to_poll = view.peers_to_poll(&subjects, own);
        for (name, entry) in known.iter_mut() {
            if to_poll.contains(name) == entry.polling.is_some() {
                continue;
            }
            if let Some(polling) = entry.polling.take() {
                // Calls in progress at the entry continue.
                polling.cancel();
                entry.peer = None;
                view.set_state(name, PeerState::Unknown);
                continue;
            }
            let stop = CancellationToken::new();
            entry.polling = Some(stop.clone());
            let address = entry.address.peer_address;
            tokio::spawn(hello::poll_entry(relay.clone(), name.clone(), address, stop));
        }
    }

    /// Makes the next housekeeping round choose the polled entries again, for instance because the
    /// stage services have changed.
    pub(crate) fn invalidate_polled_entries(&self) {
        lock(&self.directory).polled_for = None;
    }

    pub(crate) fn set_address(&self, relay: &Relay, address: EntryAddress) {
        let name = address.name.clone();
        if name == relay.settings.name {
            return;
        }
        let mut directory = lock(&self.directory);
        if directory.known.get(&name).is_some_and(|it| it.address == address) {
            return;
        }
        info!(entry:% = name, address:% = address.peer_address; "entry listed");
        directory.view.add(address.candidate());
        directory.polled_for = None;
        let entry = KnownEntry { address, polling: None, peer: None, queues: FastMap::default() };
        if let Some(replaced) = directory.known.insert(name, entry) {
            // The entry has restarted; calls to the previous process get no response.
            if let Some(peer) = &replaced.peer {
                peer.lost.cancel();
            }
            replaced.close();
        }
    }

    pub(crate) fn remove(&self, name: &str) {
        let mut directory = lock(&self.directory);
        if let Some(removed) = directory.known.remove(name) {
            info!(entry = name; "entry no longer listed");
            directory.view.remove(name);
            directory.polled_for = None;
            removed.close();
        }
    }

    fn record_reply(&self, name: &str, reply: HelloReply, peer: &Peer, stop: &CancellationToken) {
        let mut directory = lock(&self.directory);
        let Some(entry) = directory.known.get_mut(name) else { return };
        if stop.is_cancelled() {
            return;
        }
        entry.peer = Some(peer.clone());
        entry.queues = reply.queues.into_iter().map(|it| (it.service.clone(), it)).collect();
        let (takes_work, follows_platform) = (reply.takes_work, reply.list_revisions.is_some());
        let state = PeerState::Alive { takes_work, follows_platform };
        if directory.set_state(name, state) {
            info!(entry = name, takes_work, follows_platform; "entry responded");
        }
    }

    fn record_loss(&self, name: &str, detail: &str, stop: &CancellationToken) {
        let mut directory = lock(&self.directory);
        let Some(entry) = directory.known.get_mut(name) else { return };
        if stop.is_cancelled() {
            return;
        }
        if let Some(peer) = entry.peer.take() {
            warn!(entry = name, detail = detail; "lost contact with entry");
            peer.lost.cancel();
        }
        entry.queues.clear();
        directory.set_state(name, PeerState::Lost);
    }

    /// Makes this entry write its record again.
    pub(crate) fn register_again(&self) {
        self.unregistered.notify_one();
    }

    /// Waits until the platform does not list this entry.
    async fn until_unregistered(&self) {
        self.unregistered.notified().await;
    }

    /// Returns whether this entry reads the platform, and which entries it follows otherwise.
    pub(crate) fn reader_plan(&self) -> ReaderPlan {
        lock(&self.directory).plan.clone()
    }

    /// Returns whether this entry reads the platform, and whether one that it could follow responds.
    pub(crate) fn reading_state(&self) -> (bool, bool) {
        let directory = lock(&self.directory);
        let Directory { known, plan, .. } = &*directory;
        let responds = |it: &String| known.get(it).is_some_and(|it| it.peer.is_some());
        (plan.is_reader, plan.sources.iter().any(responds))
    }

    /// Returns the entries to follow that have responded, in order of preference, each with whether it
    /// followed the platform then.
    fn sources(&self) -> Vec<(Peer, bool)> {
        let directory = lock(&self.directory);
        let mut sources = Vec::new();
        for name in &directory.plan.sources {
            let Some(peer) = directory.known.get(name).and_then(|it| it.peer.clone()) else {
                continue;
            };
            sources.push((peer, directory.view.follows_platform(name)));
        }
        sources
    }

    /// Tells whether an entry is told of the streams that this one begins.
    fn is_registrar(&self, name: &str) -> bool {
        lock(&self.directory).registrars.contains(name)
    }

    /// Tells whether an entry is among the first that may own some shared work.
    pub(crate) fn is_likely_owner(&self, relay: &Relay, name: &str, subject: &Arc<str>) -> bool {
        let own = own_state(relay);
        let subjects = std::slice::from_ref(subject);
        lock(&self.directory).view.registrars(subjects, own).contains(name)
    }

    /// Returns the connections to the entries that are told of new streams.
    pub(crate) fn registrars(&self) -> Vec<Peer> {
        let directory = lock(&self.directory);
        let Directory { known, registrars, .. } = &*directory;
        registrars.iter().filter_map(|it| known.get(it)?.peer.clone()).collect()
    }

    /// Returns the addresses of all other entries.
    pub(crate) fn addresses(&self) -> Vec<EntryAddress> {
        lock(&self.directory).known.values().map(|it| it.address.clone()).collect()
    }

    /// Returns the names of all other entries.
    pub(crate) fn names(&self) -> Vec<String> {
        lock(&self.directory).known.keys().cloned().collect()
    }

    /// Returns the interval between hellos to an entry, in milliseconds.
    pub(crate) fn hello_interval_ms(&self) -> u64 {
        let entries = lock(&self.directory).view.entry_count() as u64;
        HELLO_INTERVAL_MS.max(entries * HELLO_INTERVAL_PER_ENTRY_MS)
    }
}

impl Directory {
    /// Records the observed state of an entry; returns whether it has changed.
    fn set_state(&mut self, name: &str, state: PeerState) -> bool {
        let has_changed = self.view.set_state(name, state);
        if has_changed {
            self.polled_for = None;
        }
        has_changed
    }
}

impl KnownEntry {
    /// Stops polling the entry; calls in progress there continue.
    fn close(self) {
        if let Some(polling) = self.polling {
            polling.cancel();
        }
    }
}

fn own_state(relay: &Relay) -> OwnState {
    OwnState { takes_work: relay.is_ready(), follows_platform: relay.follows_platform() }
}

/// Returns the context of an RPC with a timeout in milliseconds.
pub(crate) fn context_for(limit_ms: u64) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(limit_ms);
    context
}
