//! Gossip of control state, strikes and instance lists among entries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all};
use log::warn;
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
    ids::Digest,
    membership::{InstanceRecord, gossip_peers},
    outcome::{Execution, Refusal},
    routing::LoadReport,
};
use yuccatrail_rpc::{
    messages::{Feedback, SyncReply, SyncRequest},
    service::{Peer, PeerClient},
    transport,
};
use yuccatrail_runtime::accept::accept;

use crate::{entry::Entry, link::context_for};

/// Interval of the gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers contacted in each round.
const PEERS_PER_ROUND: usize = 2;
/// Timeout of a connection attempt and of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest time for which the response to a suspect waits until peers know of its strikes.
const STRIKE_SHARING_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of peers that are told of a strike before the response.
const STRIKE_PEERS: usize = 8;

/// Connection to a peer and what it last reported.
struct PeerConnection {
    client: PeerClient,
    known_versions: Versions,
    /// Whether the peer reported that it has no instance list from the platform.
    lacks_instances: bool,
}

/// Runs gossip rounds until `stop` is cancelled.
///
/// A change of the control state starts a round at once.
pub(crate) async fn run(entry: Arc<Entry>, stop: CancellationToken) {
    let mut connections: FastMap<SocketAddr, PeerConnection> = FastMap::default();
    let mut changed = entry.control.subscribe();
    while !stop.is_cancelled() {
        let peers = peers(&entry);
        connections.retain(|address, _| peers.iter().any(|it| it.address == *address));
        for address in select_peers(&entry, &peers) {
            let connection = connections.remove(&address);
            if let Some(connection) = sync_with_peer(&entry, address, connection).await {
                connections.insert(address, connection);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            _ = changed.changed() => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Tells peers of the strikes against a request that has failed, before its caller hears of that.
///
/// A caller that sends the request again through another entry would crash a further upstream there,
/// because the next gossip round may be half a second away.
pub(crate) async fn share_strikes(entry: &Entry, fingerprint: Digest, refusal: &Refusal) {
    let strikes = entry.strikes.against(fingerprint, entry.clock.now_ms());
    if refusal.execution == Execution::NotRun || strikes.is_empty() {
        return;
    }
    let peers = peers(entry);
    let told = peers.iter().take(STRIKE_PEERS).map(|it| sync_with_peer(entry, it.address, None));
    if tokio::time::timeout(STRIKE_SHARING_TIMEOUT, join_all(told)).await.is_err() {
        warn!("not all peers were told of a strike in time");
    }
}

fn peers(entry: &Entry) -> Vec<InstanceRecord> {
    let mut peers = entry.fleet.entries();
    peers.retain(|it| it.name != entry.name);
    peers
}

fn select_peers(entry: &Entry, peers: &[InstanceRecord]) -> Vec<SocketAddr> {
    let data_centres: Vec<&str> = peers.iter().map(|it| it.data_centre.as_str()).collect();
    let random: [u64; PEERS_PER_ROUND] = rand::random();
    let mut selected = Vec::new();
    for index in gossip_peers(&data_centres, &entry.data_centre, PEERS_PER_ROUND, &random) {
        selected.push(peers[index].address);
    }
    selected
}

/// Exchanges state with one peer; returns the connection unless the call failed.
async fn sync_with_peer(
    entry: &Entry,
    address: SocketAddr,
    connection: Option<PeerConnection>,
) -> Option<PeerConnection> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => {
            let (client, known_versions) = (connect(address).await?, entry.control.versions());
            PeerConnection { client, known_versions, lacks_instances: false }
        }
    };
    let sent_ms = entry.clock.now_ms();
    let request = SyncRequest {
        from: entry.incarnation,
        versions: entry.control.versions(),
        update: entry.control.update_for(connection.known_versions),
        ages: entry.control.ages(sent_ms),
        echo: None,
        is_listed_leaving: false,
        instances: match connection.lacks_instances {
            true => entry.fleet.instance_list(),
            false => Vec::new(),
        },
        strikes: entry.strikes.recent(sent_ms),
    };
    let reply = connection.client.sync(context_for(PEER_TIMEOUT), request).await.ok()?;
    connection.known_versions = reply.feedback.versions;
    connection.lacks_instances = reply.lacks_instances;
    entry.control.adopt(reply.update, "peer");
    entry.strikes.merge(&reply.feedback.strikes, entry.clock.now_ms());
    // The ages that the peer reports apply only if this entry holds all that the peer holds.
    if !reply.feedback.versions.has_newer_than(entry.control.versions()) {
        entry.control.confirm(sent_ms, reply.ages);
    }
    Some(connection)
}

/// Opens a connection to a peer; returns `None` if that fails or times out.
pub(crate) async fn connect(address: SocketAddr) -> Option<PeerClient> {
    let transport =
        tokio::time::timeout(PEER_TIMEOUT, transport::connect(address)).await.ok()?.ok()?;
    Some(PeerClient::new(Config::default(), Box::pin(transport)).spawn())
}

/// Serves the calls of one peer.
#[derive(Clone)]
struct PeerService {
    entry: Arc<Entry>,
}

impl Peer for PeerService {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        let entry = &self.entry;
        let now_ms = entry.clock.now_ms();
        entry.control.adopt(request.update, "peer");
        entry.strikes.merge(&request.strikes, now_ms);
        entry.fleet.apply_peer_list(request.instances);
        SyncReply {
            lacks_instances: entry.fleet.lacks_platform_list(),
            feedback: Feedback {
                incarnation: entry.incarnation,
                now_ms,
                versions: entry.control.versions(),
                load: LoadReport::default(),
                strikes: entry.strikes.recent(now_ms),
            },
            update: entry.control.update_for(request.versions),
            ages: entry.control.ages(now_ms),
            sync_again: false,
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
        .execute(PeerService { entry }.serve())
        .for_each(|response| async {
            tokio::spawn(response);
        })
        .await;
}
