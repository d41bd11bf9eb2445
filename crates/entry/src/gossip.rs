//! Exchange of control state and strikes among entries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use tarpc::{
    client::Config,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    control::Versions,
    membership::{InstanceRecord, gossip_peers},
    routing::LoadReport,
};
use yuccatrail_rpc::{
    messages::{Feedback, SyncReply, SyncRequest},
    service::{Peer, PeerClient},
    transport,
};
use yuccatrail_runtime::accept::accept;

use crate::{entry::Entry, link::context_for};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Peers asked in each round.
const PEERS_A_ROUND: usize = 2;
/// Time after which an unanswered peer is given up.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Connection to a peer with the versions that it held last.
struct PeerLink {
    client: PeerClient,
    known: Versions,
    /// Whether the peer has said that it has no instance list from the platform.
    lacks_instances: bool,
}

/// Exchanges with a few peers in each round until `stop` is cancelled.
///
/// A change of the control state starts a round at once.
pub(crate) async fn run(entry: Arc<Entry>, stop: CancellationToken) {
    let mut links: FastMap<SocketAddr, PeerLink> = FastMap::default();
    let mut changed = entry.control.subscribe();
    while !stop.is_cancelled() {
        let peers = peers(&entry);
        links.retain(|address, _| peers.iter().any(|it| it.address == *address));
        for address in select(&entry, &peers) {
            let link = links.remove(&address);
            if let Some(link) = exchange(&entry, address, link).await {
                links.insert(address, link);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            _ = changed.changed() => {}
            () = stop.cancelled() => {}
        }
    }
}

fn peers(entry: &Entry) -> Vec<InstanceRecord> {
    let mut peers = entry.fleet.entries();
    peers.retain(|it| it.name != entry.name);
    peers
}

fn select(entry: &Entry, peers: &[InstanceRecord]) -> Vec<SocketAddr> {
    let data_centres: Vec<&str> = peers.iter().map(|it| it.data_centre.as_str()).collect();
    let random: [u64; PEERS_A_ROUND] = rand::random();
    let mut selected = Vec::new();
    for index in gossip_peers(&data_centres, &entry.data_centre, PEERS_A_ROUND, &random) {
        selected.push(peers[index].address);
    }
    selected
}

/// Exchanges with one peer; returns the connection if it still works.
async fn exchange(entry: &Entry, address: SocketAddr, link: Option<PeerLink>) -> Option<PeerLink> {
    let mut link = match link {
        Some(link) => link,
        None => {
            let (client, known) = (connect(address).await?, entry.control.versions());
            PeerLink { client, known, lacks_instances: false }
        }
    };
    let sent_ms = entry.clock.now_ms();
    let request = SyncRequest {
        from: entry.incarnation,
        versions: entry.control.versions(),
        update: entry.control.update_for(link.known),
        ages: entry.control.ages(sent_ms),
        echo: None,
        is_listed_leaving: false,
        instances: match link.lacks_instances {
            true => entry.fleet.listed(),
            false => Vec::new(),
        },
        strikes: entry.strikes.recent(sent_ms),
    };
    let reply = link.client.sync(context_for(PEER_TIMEOUT), request).await.ok()?;
    link.known = reply.feedback.versions;
    link.lacks_instances = reply.lacks_instances;
    entry.control.adopt(reply.update, "peer");
    entry.strikes.merge(&reply.feedback.strikes, entry.clock.now_ms());
    // Only a process that holds all that the peer holds shares the peer's knowledge of its age.
    if !reply.feedback.versions.has_newer_than(entry.control.versions()) {
        entry.control.confirm(sent_ms, reply.ages);
    }
    Some(link)
}

/// Opens a connection to a peer; none if the peer does not answer in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<PeerClient> {
    let transport =
        tokio::time::timeout(PEER_TIMEOUT, transport::connect(address)).await.ok()?.ok()?;
    Some(PeerClient::new(Config::default(), Box::pin(transport)).spawn())
}

/// Answers the calls of one peer.
#[derive(Clone)]
struct Connection {
    entry: Arc<Entry>,
}

impl Peer for Connection {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        let entry = &self.entry;
        let now_ms = entry.clock.now_ms();
        entry.control.adopt(request.update, "peer");
        entry.strikes.merge(&request.strikes, now_ms);
        entry.fleet.take_peer_list(request.instances);
        SyncReply {
            lacks_instances: entry.fleet.lacks_list(),
            feedback: Feedback {
                incarnation: entry.incarnation,
                now_ms,
                versions: entry.control.versions(),
                load: LoadReport::default(),
                strikes: entry.strikes.recent(now_ms),
            },
            update: entry.control.update_for(request.versions),
            ages: entry.control.ages(now_ms),
            again: false,
        }
    }
}

/// Accepts connections of peers until `stop` is cancelled.
pub(crate) async fn serve(listener: TcpListener, entry: Arc<Entry>, stop: CancellationToken) {
    accept(&listener, &stop, |stream| {
        tokio::spawn(serve_connection(stream, entry.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, entry: Arc<Entry>) {
    let Ok(transport) = transport::accept(stream).await else { return };
    let channel = BaseChannel::with_defaults(Box::pin(transport));
    channel
        .execute(Connection { entry }.serve())
        .for_each(|response| async {
            tokio::spawn(response);
        })
        .await;
}
