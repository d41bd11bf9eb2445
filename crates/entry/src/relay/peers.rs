//! The other entries: whether they live, who owns shared work, and whom to ask.

mod hello;
mod record;
mod serve;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use log::{info, warn};
use tarpc::context::{self, Context};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::EntryRecord;
use yuccatrail_core::{
    FastMap,
    ownership::{Candidate, EntryView, Heard, OwnState},
};
use yuccatrail_rpc::entries::{EntryAddress, EntryPeerClient, HelloReply, QueueState};

use crate::relay::{
    peers::hello::MissingConfiguration,
    state::{Relay, lock},
};

pub(crate) use record::{follow_entries, register, unregister};
pub(crate) use serve::serve;

/// Shortest time between two questions to another entry, in milliseconds.
const HELLO_INTERVAL_MS: u64 = 300;
/// Time between two questions for each entry of the installation, in milliseconds, so that an owner,
/// which all others ask, answers at most 200 a second.
const HELLO_INTERVAL_PER_ENTRY_MS: u64 = 5;

/// An entry that answers.
#[derive(Clone)]
pub(crate) struct Peer {
    /// Name of the entry.
    pub(crate) name: String,
    /// Calls to the entry.
    pub(crate) client: EntryPeerClient,
    /// Cancelled when the entry no longer answers.
    pub(crate) lost: CancellationToken,
}

/// What is known of another entry.
struct KnownEntry {
    record: EntryRecord,
    /// Ends the questions to the entry; none while it is not asked.
    polling: Option<CancellationToken>,
    peer: Option<Peer>,
    queues: FastMap<String, QueueState>,
}

/// All entries, with the calls to those that are asked.
struct Directory {
    view: EntryView,
    known: FastMap<String, KnownEntry>,
    /// Own state with which it was last decided whom to ask; none where that has to be decided again.
    polled_for: Option<OwnState>,
}

/// Who owns a piece of shared work.
pub(crate) enum Owner {
    /// This entry.
    Local,
    /// Another entry.
    Remote(Peer),
}

/// All other entries.
pub(crate) struct Peers {
    directory: Mutex<Directory>,
    missing_configuration: Mutex<MissingConfiguration>,
}

impl Peers {
    /// Creates the directory of the entry `own`, which knows no other yet.
    pub(crate) fn new(own: Candidate) -> Self {
        let view = EntryView::new(own);
        let directory = Directory { view, known: FastMap::default(), polled_for: None };
        Self { directory: Mutex::new(directory), missing_configuration: Mutex::default() }
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

    /// Returns the expected wait in the queue of a service at its owner, in milliseconds; none where
    /// this entry is the owner.
    pub(crate) fn wait_ms(&self, relay: &Relay, service: &str) -> Option<u64> {
        self.queue_at_owner(relay, service)?.map(|it| it.wait_ms)
    }

    /// Tells whether much waits in the queue of a service at its owner; none where this entry is the
    /// owner.
    pub(crate) fn is_pressed(&self, relay: &Relay, service: &str) -> Option<bool> {
        Some(self.queue_at_owner(relay, service)?.is_some_and(|it| it.is_pressed))
    }

    /// Returns what another entry that owns a service last told of its queue, if it told of it; none
    /// where this entry is the owner.
    fn queue_at_owner(&self, relay: &Relay, service: &str) -> Option<Option<QueueState>> {
        let Owner::Remote(peer) = self.owner(relay, service) else { return None };
        let directory = lock(&self.directory);
        Some(directory.known.get(&peer.name).and_then(|it| it.queues.get(service)).cloned())
    }

    /// Begins to ask the entries that have to be asked and stops asking the others.
    pub(crate) fn update_polled_entries(&self, relay: &Arc<Relay>) {
        let own = own_state(relay);
        if lock(&self.directory).polled_for == Some(own) {
            return;
        }
        let services = relay.stages.services();
        let mut directory = lock(&self.directory);
        let Directory { view, known, polled_for } = &mut *directory;
        *polled_for = Some(own);
        let to_poll = view.to_ask(&services, own);
        for (name, entry) in known.iter_mut() {
            if to_poll.contains(name) == entry.polling.is_some() {
                continue;
            }
            if let Some(polling) = entry.polling.take() {
                // Calls in progress at the entry go on.
                polling.cancel();
                entry.peer = None;
                view.hear(name, Heard::Nothing);
                continue;
            }
            let stop = CancellationToken::new();
            entry.polling = Some(stop.clone());
            let address = entry.record.peer_address;
            tokio::spawn(hello::poll_entry(relay.clone(), name.clone(), address, stop));
        }
    }

    /// Decides again whom to ask, for instance because there are other stage services now.
    pub(crate) fn invalidate_polled_entries(&self) {
        lock(&self.directory).polled_for = None;
    }

    fn set_record(&self, relay: &Relay, name: &str, record: EntryRecord) {
        if name == relay.settings.name {
            return;
        }
        let mut directory = lock(&self.directory);
        if directory.known.get(name).is_some_and(|it| it.record == record) {
            return;
        }
        info!(entry = name, address:% = record.peer_address; "entry listed");
        let candidate = Candidate { name: name.to_owned(), cpu_share: record.cpu_share };
        directory.view.list(candidate);
        directory.polled_for = None;
        let entry = KnownEntry { record, polling: None, peer: None, queues: FastMap::default() };
        if let Some(replaced) = directory.known.insert(name.to_owned(), entry) {
            // This is another run of the entry; the calls to the one before get no answer.
            if let Some(peer) = &replaced.peer {
                peer.lost.cancel();
            }
            replaced.close();
        }
    }

    fn remove(&self, name: &str) {
        let mut directory = lock(&self.directory);
        if let Some(removed) = directory.known.remove(name) {
            info!(entry = name; "entry no longer listed");
            directory.view.unlist(name);
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
        let heard = Heard::Lives { takes_work, follows_platform };
        if directory.hear(name, heard) {
            info!(entry = name, takes_work, follows_platform; "entry heard");
        }
    }

    fn record_loss(&self, name: &str, detail: &str, stop: &CancellationToken) {
        let mut directory = lock(&self.directory);
        let Some(entry) = directory.known.get_mut(name) else { return };
        if stop.is_cancelled() {
            return;
        }
        if let Some(peer) = entry.peer.take() {
            warn!(entry = name, detail = detail; "entry lost");
            peer.lost.cancel();
        }
        entry.queues.clear();
        directory.hear(name, Heard::Lost);
    }

    /// Returns the names of all entries but this one.
    fn names(&self) -> Vec<String> {
        lock(&self.directory).known.keys().cloned().collect()
    }

    /// Returns the time between two questions to an entry, in milliseconds.
    fn hello_interval_ms(&self) -> u64 {
        let entries = lock(&self.directory).view.entry_count() as u64;
        HELLO_INTERVAL_MS.max(entries * HELLO_INTERVAL_PER_ENTRY_MS)
    }
}

impl Directory {
    /// Notes what was heard of an entry; returns whether that is new.
    fn hear(&mut self, name: &str, heard: Heard) -> bool {
        let is_new = self.view.hear(name, heard);
        if is_new {
            self.polled_for = None;
        }
        is_new
    }
}

impl KnownEntry {
    /// Stops asking the entry; calls in progress there go on.
    fn close(self) {
        if let Some(polling) = self.polling {
            polling.cancel();
        }
    }
}

fn own_state(relay: &Relay) -> OwnState {
    OwnState { takes_work: relay.is_ready(), follows_platform: relay.follows_platform() }
}

/// Notes an entry that another one told of, or that asks.
fn record_address(relay: &Relay, entry: EntryAddress) {
    let record = EntryRecord { peer_address: entry.peer_address, cpu_share: entry.cpu_share };
    relay.peers.set_record(relay, &entry.name, record);
}

/// Returns the context of a call that is given up after a time in milliseconds.
pub(crate) fn context_for(limit_ms: u64) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(limit_ms);
    context
}
