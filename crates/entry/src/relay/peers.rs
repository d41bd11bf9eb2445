//! The other entries: how they are found, whether they live, and the calls to them.

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::StreamExt;
use hyper::Method;
use log::{info, warn};
use tarpc::{
    client::Config,
    context::{self, Context},
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{
    EntryRecord, StoreChange, encode_entry, entries_form, entry_collection_path, entry_path,
};
use yuccatrail_core::{
    FastMap, FastSet,
    ownership::{Candidate, EntryView, Heard, OwnState},
    route_table::{Configuration, RouteTable},
    upstreams::{Beliefs, ListRevisions},
};
use yuccatrail_platform::{Client, PlatformError, PollUpdate, Poller, PollerSettings};
use yuccatrail_rpc::{
    entries::{
        EntryAddress, EntryPeer, EntryPeerClient, HelloReply, QueueState, StageReply, StageRequest,
    },
    transport,
};
use yuccatrail_runtime::accept::accept;

use crate::relay::{
    feed::log_evacuations,
    state::{Relay, lock},
};

/// Shortest time between two questions to another entry, in milliseconds.
const HELLO_INTERVAL_MS: u64 = 300;
/// Time between two questions for each entry of the installation, in milliseconds, so that an owner,
/// which all others ask, answers at most 200 a second.
const HELLO_INTERVAL_PER_ENTRY_MS: u64 = 5;
/// Time after which an unanswered question means that the entry is gone, in milliseconds; an entry
/// short of processor time answers in a hundred.
const HELLO_TIMEOUT_MS: u64 = 700;
/// Time between two attempts to connect, in milliseconds.
const RECONNECT_MS: u64 = 300;
/// Time for which the platform is given to tell of a configuration that another entry has, in
/// milliseconds: its answers are gathered for 250, and two seconds are the bound.
const CONFIGURATION_PATIENCE_MS: u64 = 600;
/// Time between two attempts to write the own record, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 500;
/// Longest wait of a planned stop for the removal of the own record, in milliseconds; less than is left
/// before the kill.
const UNREGISTER_LIMIT_MS: u64 = 300;

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
struct Known {
    record: EntryRecord,
    /// Ends the questions to the entry; none while it is not asked.
    asking: Option<CancellationToken>,
    peer: Option<Peer>,
    queues: FastMap<String, QueueState>,
}

/// All entries, with the calls to those that are asked.
struct Directory {
    view: EntryView,
    known: FastMap<String, Known>,
    /// Own state with which it was last decided whom to ask; none where that has to be decided again.
    decided_with: Option<OwnState>,
}

/// Who owns a piece of shared work.
pub(crate) enum Owner {
    /// This entry.
    Own,
    /// Another entry.
    Other(Peer),
}

/// All other entries.
pub(crate) struct Peers {
    directory: Mutex<Directory>,
    missing: Mutex<Missing>,
}

/// A configuration that another entry has and this one lacks.
#[derive(Default)]
struct Missing {
    /// Its version, and the time at which it was first heard of, in milliseconds.
    heard: Option<(u64, u64)>,
    /// Time until which an entry is being asked for it, in milliseconds.
    asked_until_ms: u64,
}

impl Missing {
    /// Notes that another entry has a version; tells whether it is time to ask for it.
    ///
    /// A whole configuration takes a narrow link tens of milliseconds, so it is asked for only where
    /// the platform has not told of it in time, and from one entry. An entry without any asks at once.
    fn begin(&mut self, own: Option<u64>, offered: u64, now_ms: u64) -> bool {
        let (_, since_ms) = match self.heard.filter(|(version, _)| own < Some(*version)) {
            Some(heard) => heard,
            None => *self.heard.insert((offered, now_ms)),
        };
        let is_patient = own.is_some() && now_ms < since_ms + CONFIGURATION_PATIENCE_MS;
        if is_patient || now_ms < self.asked_until_ms {
            return false;
        }
        self.asked_until_ms = now_ms + HELLO_TIMEOUT_MS;
        true
    }
}

impl Peers {
    /// Creates the directory of the entry `own`, which knows no other yet.
    pub(crate) fn new(own: Candidate) -> Self {
        let view = EntryView::new(own);
        let directory = Directory { view, known: FastMap::default(), decided_with: None };
        Self { directory: Mutex::new(directory), missing: Mutex::default() }
    }

    /// Returns the owner of a stage service.
    pub(crate) fn owner(&self, relay: &Relay, service: &str) -> Owner {
        let own = own_state(relay);
        let mut directory = lock(&self.directory);
        let Directory { view, known, .. } = &mut *directory;
        let owner = view.owner(service, own).and_then(|it| known.get(it));
        match owner.and_then(|it| it.peer.clone()) {
            Some(peer) => Owner::Other(peer),
            None => Owner::Own,
        }
    }

    /// Returns the expected wait in the queue of a service at its owner, in milliseconds; none where
    /// this entry is the owner.
    pub(crate) fn wait_ms(&self, relay: &Relay, service: &str) -> Option<u64> {
        let Owner::Other(peer) = self.owner(relay, service) else { return None };
        let directory = lock(&self.directory);
        directory.known.get(&peer.name)?.queues.get(service).map(|it| it.wait_ms)
    }

    /// Tells whether much waits in the queue of a service at its owner; none where this entry is the
    /// owner.
    pub(crate) fn is_pressed(&self, relay: &Relay, service: &str) -> Option<bool> {
        let Owner::Other(peer) = self.owner(relay, service) else { return None };
        let directory = lock(&self.directory);
        let queue = directory.known.get(&peer.name).and_then(|it| it.queues.get(service));
        Some(queue.is_some_and(|it| it.is_pressed))
    }

    /// Begins to ask the entries that have to be asked and stops asking the others.
    pub(crate) fn decide_whom_to_ask(&self, relay: &Arc<Relay>) {
        let own = own_state(relay);
        if lock(&self.directory).decided_with == Some(own) {
            return;
        }
        let services = relay.stages.services();
        let mut directory = lock(&self.directory);
        let Directory { view, known, decided_with } = &mut *directory;
        *decided_with = Some(own);
        let asked = view.to_ask(&services, own);
        for (name, entry) in known.iter_mut() {
            if asked.contains(name) == entry.asking.is_some() {
                continue;
            }
            if let Some(asking) = entry.asking.take() {
                // Calls in progress at the entry go on.
                asking.cancel();
                entry.peer = None;
                view.hear(name, Heard::Nothing);
                continue;
            }
            let stop = CancellationToken::new();
            entry.asking = Some(stop.clone());
            let address = entry.record.peer_address;
            tokio::spawn(maintain(relay.clone(), name.clone(), address, stop));
        }
    }

    /// Decides again whom to ask, for instance because there are other stage services now.
    pub(crate) fn note_change(&self) {
        lock(&self.directory).decided_with = None;
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
        directory.decided_with = None;
        let entry = Known { record, asking: None, peer: None, queues: FastMap::default() };
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
            directory.decided_with = None;
            removed.close();
        }
    }

    fn note_reply(&self, name: &str, reply: HelloReply, peer: &Peer, stop: &CancellationToken) {
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

    fn note_lost(&self, name: &str, detail: &str, stop: &CancellationToken) {
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
        let entries = lock(&self.directory).view.len() as u64;
        HELLO_INTERVAL_MS.max(entries * HELLO_INTERVAL_PER_ENTRY_MS)
    }
}

impl Directory {
    /// Notes what was heard of an entry; returns whether that is new.
    fn hear(&mut self, name: &str, heard: Heard) -> bool {
        let is_new = self.view.hear(name, heard) != heard;
        if is_new {
            self.decided_with = None;
        }
        is_new
    }
}

impl Known {
    /// Stops asking the entry; calls in progress there go on.
    fn close(self) {
        if let Some(asking) = self.asking {
            asking.cancel();
        }
    }
}

fn own_state(relay: &Relay) -> OwnState {
    OwnState { takes_work: relay.is_ready(), follows_platform: relay.follows_platform() }
}

/// Keeps a connection to an entry and asks it again and again.
async fn maintain(relay: Arc<Relay>, name: String, address: SocketAddr, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let detail = tokio::select! {
            detail = converse(&relay, &name, address, &stop) => detail,
            () = stop.cancelled() => return,
        };
        relay.peers.note_lost(&name, &detail, &stop);
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
}

/// Returns why the conversation ended.
async fn converse(
    relay: &Arc<Relay>,
    name: &str,
    address: SocketAddr,
    stop: &CancellationToken,
) -> String {
    let limit = Duration::from_millis(HELLO_TIMEOUT_MS);
    let transport = match tokio::time::timeout(limit, transport::connect(address)).await {
        Ok(Ok(transport)) => transport,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return "connecting timed out".to_owned(),
    };
    let client = EntryPeerClient::new(Config::default(), Box::pin(transport)).spawn();
    let peer = Peer { name: name.to_owned(), client, lost: CancellationToken::new() };
    let mut knows_entries = false;
    loop {
        let asked = peer.client.hello(context_for(HELLO_TIMEOUT_MS), own_address(relay));
        match tokio::time::timeout(limit, asked).await {
            Ok(Ok(reply)) => {
                take_newer_configuration(relay, &peer, reply.config_version).await;
                take_beliefs(relay, &peer, reply.list_revisions).await;
                relay.peers.note_reply(name, reply, &peer, stop);
                if !knows_entries {
                    knows_entries = take_entries(relay, &peer).await;
                }
            }
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "no answer in time".to_owned(),
        }
        tokio::time::sleep(Duration::from_millis(relay.peers.hello_interval_ms())).await;
    }
}

fn own_address(relay: &Relay) -> EntryAddress {
    EntryAddress {
        name: relay.settings.name.clone(),
        peer_address: relay.settings.peer_listen,
        cpu_share: relay.settings.cpu_share,
    }
}

/// Learns of the other entries where the platform tells of none; returns whether that is done.
async fn take_entries(relay: &Relay, peer: &Peer) -> bool {
    if relay.upstreams().has_platform_list() {
        return true;
    }
    match peer.client.entries(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(entries) => {
            info!(entry:% = peer.name, entries = entries.len(); "entries heard from an entry");
            for entry in entries {
                note_address(relay, entry);
            }
            true
        }
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "other entries not heard");
            false
        }
    }
}

fn note_address(relay: &Relay, entry: EntryAddress) {
    let record = EntryRecord { peer_address: entry.peer_address, cpu_share: entry.cpu_share };
    relay.peers.set_record(relay, &entry.name, record);
}

/// Takes over a newer configuration from an entry that the store has told of it.
async fn take_newer_configuration(relay: &Relay, peer: &Peer, version: Option<u64>) {
    let own = relay.table().map(|it| it.version());
    let Some(offered) = version.filter(|it| Some(*it) > own) else { return };
    if !lock(&relay.peers.missing).begin(own, offered, relay.now_ms()) {
        return;
    }
    match peer.client.configuration(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(Some(configuration)) => {
            relay.adopt(RouteTable::new(Arc::unwrap_or_clone(configuration)), &peer.name);
        }
        Ok(None) => {}
        Err(error) => warn!(entry:% = peer.name, error:% = error; "newer configuration not heard"),
    }
    lock(&relay.peers.missing).asked_until_ms = 0;
}

/// Takes over newer lists from an entry that follows the platform while this one does not.
async fn take_beliefs(relay: &Arc<Relay>, peer: &Peer, revisions: Option<ListRevisions>) {
    let is_newer = |it: ListRevisions| it.has_newer_than(relay.upstreams().revisions());
    if relay.follows_platform() || !revisions.is_some_and(is_newer) {
        return;
    }
    let beliefs = match peer.client.beliefs(context_for(HELLO_TIMEOUT_MS)).await {
        Ok(Some(beliefs)) => beliefs,
        Ok(None) => return,
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "newer lists not heard");
            return;
        }
    };
    // The platform's own lists may have arrived meanwhile.
    if relay.follows_platform() {
        return;
    }
    let now_ms = relay.now_ms();
    let mut upstreams = relay.upstreams();
    info!(
        entry:% = peer.name,
        upstreams = beliefs.upstreams.len(),
        revision = beliefs.revisions.upstreams,
        known_revision = upstreams.revisions().upstreams;
        "lists heard from an entry"
    );
    let changed = upstreams.take_over(beliefs, now_ms);
    drop(upstreams);
    log_evacuations(&changed);
    relay.stages.pump_all(relay);
}

/// Returns the context of a call that is given up after a time in milliseconds.
pub(crate) fn context_for(limit_ms: u64) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(limit_ms);
    context
}

/// Follows the list of entries.
pub(crate) async fn follow_entries(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let settings = PollerSettings::default();
    let (poller, mut updates) = Poller::start(client, entries_form(), settings, &stop);
    while let Some(update) = updates.recv().await {
        match update {
            PollUpdate::Snapshot { items, .. } => {
                let listed: FastSet<String> = items.iter().filter_map(present_name).collect();
                for name in relay.peers.names().iter().filter(|it| !listed.contains(*it)) {
                    relay.peers.remove(name);
                }
                take_in(&relay, items);
            }
            PollUpdate::Changes(changes) => take_in(&relay, changes.items),
            PollUpdate::Unavailable(_) | PollUpdate::Available => {}
        }
        let mut names = relay.peers.names();
        names.push(relay.settings.name.clone());
        relay.upstreams().set_entries(names);
    }
    poller.close().await;
}

fn take_in(relay: &Relay, changes: Vec<StoreChange<EntryRecord>>) {
    for change in changes {
        match change {
            StoreChange::Present { name, content } => {
                relay.peers.set_record(relay, &name, content);
            }
            StoreChange::Absent { name } => relay.peers.remove(&name),
            StoreChange::Unreadable { name, detail } => {
                warn!(entry:% = name, detail:% = detail; "record of an entry can't be read");
            }
        }
    }
}

fn present_name(change: &StoreChange<EntryRecord>) -> Option<String> {
    match change {
        StoreChange::Present { name, .. } => Some(name.clone()),
        StoreChange::Absent { .. } | StoreChange::Unreadable { .. } => None,
    }
}

/// Writes the own record, so that the other entries find this one.
pub(crate) async fn register(relay: Arc<Relay>, client: Client) {
    let name = &relay.settings.name;
    let record = EntryRecord {
        peer_address: relay.settings.peer_listen,
        cpu_share: relay.settings.cpu_share,
    };
    let body = encode_entry(name, &record);
    let mut path = entry_collection_path();
    let mut method = Method::POST;
    loop {
        match client.write(name, method.clone(), &path, body.clone()).await {
            Ok(()) => {
                info!("own record written");
                return;
            }
            Err(PlatformError::Conflict { .. } | PlatformError::AlreadyExists { .. }) => {
                // A record of an earlier run; this run has another incarnation under the same name.
                method = Method::PUT;
                path = entry_path(name);
                continue;
            }
            Err(error) => warn!(error:% = error; "own record can't be written yet"),
        }
        tokio::time::sleep(Duration::from_millis(REGISTER_INTERVAL_MS)).await;
    }
}

/// Removes the own record, so that the other entries no longer count this one.
pub(crate) async fn unregister(relay: &Relay, client: &Client) {
    let name = &relay.settings.name;
    let path = entry_path(name);
    let removal = client.write(name, Method::DELETE, &path, bytes::Bytes::new());
    let limit = Duration::from_millis(UNREGISTER_LIMIT_MS);
    match tokio::time::timeout(limit, removal).await {
        Ok(Ok(())) => info!("own record removed"),
        Ok(Err(error)) => warn!(error:% = error; "own record stays"),
        Err(_) => warn!("own record stays, the platform is slow"),
    }
}

/// Answers the calls of one connection.
#[derive(Clone)]
struct Connection {
    relay: Arc<Relay>,
}

impl EntryPeer for Connection {
    async fn hello(self, _: Context, from: EntryAddress) -> HelloReply {
        // Without the platform an entry that starts again finds the others by their questions.
        if !self.relay.upstreams().has_platform_list() {
            note_address(&self.relay, from);
        }
        let queues = self.relay.stages.states(&self.relay);
        let config_version = self.relay.table().map(|it| it.version());
        let revisions = self.relay.upstreams().revisions();
        let list_revisions = self.relay.follows_platform().then_some(revisions);
        HelloReply { takes_work: self.relay.is_ready(), config_version, list_revisions, queues }
    }

    async fn entries(self, _: Context) -> Vec<EntryAddress> {
        let directory = lock(&self.relay.peers.directory);
        let address = |(name, entry): (&String, &Known)| EntryAddress {
            name: name.clone(),
            peer_address: entry.record.peer_address,
            cpu_share: entry.record.cpu_share,
        };
        directory.known.iter().map(address).collect()
    }

    async fn configuration(self, _: Context) -> Option<Arc<Configuration>> {
        self.relay.table().map(|it| it.configuration().clone())
    }

    async fn beliefs(self, _: Context) -> Option<Beliefs> {
        if !self.relay.follows_platform() {
            return None;
        }
        self.relay.upstreams().beliefs(self.relay.now_ms())
    }

    async fn run_stage(self, _: Context, request: StageRequest) -> StageReply {
        // A planned stop waits for the work of others too.
        let _in_progress = self.relay.begin_request();
        let (end, handles) = self.relay.stages.run_for_peer(&self.relay, request).await;
        StageReply { end, handles }
    }

    async fn release(self, _: Context, handles: Vec<String>) {
        self.relay.releases.add_own(handles);
    }
}

/// Serves the other entries until `stop` is cancelled.
pub(crate) async fn serve(listener: TcpListener, relay: Arc<Relay>, stop: CancellationToken) {
    accept(&listener, &stop, |stream| {
        tokio::spawn(serve_connection(stream, relay.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, relay: Arc<Relay>) {
    let transport = match transport::accept(stream).await {
        Ok(transport) => transport,
        Err(error) => {
            warn!(error:% = error; "connection of another entry failed");
            return;
        }
    };
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    let responses = channel.execute(Connection { relay }.serve());
    responses
        .for_each(|response| async move {
            tokio::spawn(response);
        })
        .await;
}
