//! Configurations that entries pass on to one another, in parts.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    route_table::{
        ConfigurationChange, ConfigurationId, ConfigurationOffers, ConfigurationPart,
        EncodedChange, IncomingTransfer, PartRequest, Received, RouteTable, TransferId,
    },
};
use yuccatrail_rpc::document;

use crate::relay::{
    peers::{Peer, context_for},
    reading::reads_lists,
    state::{Relay, lock},
};

/// Number of configurations that are kept, so that entries which have one of them get the change only.
const MAX_RECENT: usize = 4;
/// Number of encoded changes that are kept.
const MAX_ENCODED: usize = 8;
/// Timeout of one part, in milliseconds; 26 ms over a link of 10 Mbit/s that carries nothing else.
const PART_TIMEOUT_MS: u64 = 700;
/// Delay after a part that did not arrive, in milliseconds.
const RETRY_MS: u64 = 50;
/// Interval at which offers are looked at again while the platform may still deliver a configuration,
/// in milliseconds.
const OFFER_CHECK_MS: u64 = 50;

/// Configurations that this entry can pass on, and those that other entries offer.
#[derive(Default)]
pub(crate) struct Configurations {
    outgoing: Mutex<Outgoing>,
    /// Held while a change is encoded.
    encoding: tokio::sync::Mutex<()>,
    incoming: Mutex<Incoming>,
    /// Notified when another entry offers a configuration.
    offered: Notify,
    /// Notified when a configuration is in force.
    activated: Notify,
}

#[derive(Debug, Default)]
struct Outgoing {
    /// The latest configurations, the active one last.
    recent: VecDeque<Arc<RouteTable>>,
    /// Encoded changes, the one that was used last at the end.
    encoded: VecDeque<EncodedChange>,
}

#[derive(Default)]
struct Incoming {
    offers: ConfigurationOffers,
    peers: FastMap<String, Peer>,
}

impl Configurations {
    /// Records the configuration that is in force from now on.
    pub(crate) fn record_active(&self, table: Arc<RouteTable>) {
        let mut outgoing = lock(&self.outgoing);
        outgoing.recent.push_back(table);
        if outgoing.recent.len() > MAX_RECENT {
            outgoing.recent.pop_front();
        }
        drop(outgoing);
        self.activated.notify_waiters();
    }

    /// Waits until a configuration is in force, or until the timeout in milliseconds.
    pub(crate) async fn until_active(&self, relay: &Relay, limit_ms: u64) {
        let activated = self.activated.notified();
        tokio::pin!(activated);
        activated.as_mut().enable();
        if relay.table().is_none() {
            // The caller looks at the configuration again, whichever way the wait has ended.
            let _ = tokio::time::timeout(Duration::from_millis(limit_ms), activated).await;
        }
    }

    /// Records that another entry has a version; `is_source` tells whether this entry follows it.
    pub(crate) fn offer(&self, relay: &Relay, peer: &Peer, version: Option<u64>, is_source: bool) {
        let Some(version) = version else { return };
        let own = relay.table().map(|it| it.version());
        let mut incoming = lock(&self.incoming);
        incoming.offers.offer(&peer.name, version, is_source, own, relay.now_ms());
        if !incoming.offers.is_outdated(own) {
            incoming.peers.clear();
            return;
        }
        incoming.peers.insert(peer.name.clone(), peer.clone());
        self.offered.notify_one();
    }

    /// Returns the encoded change to the newest configuration from the one `known`; none if that is the
    /// newest.
    async fn encoded_change(&self, known: Option<ConfigurationId>) -> Option<EncodedChange> {
        // Several entries ask for the same change at the same time; the first one has it encoded.
        let _encoding = self.encoding.lock().await;
        let (base, target) = lock(&self.outgoing).change_for(known)?;
        let base_id = base.as_ref().map(|it| it.id());
        let is_wanted = |it: TransferId| it.base == base_id && it.target == target.id();
        if let Some(encoded) = lock(&self.outgoing).encoded(is_wanted) {
            return Some(encoded);
        }
        // On a weak instance this takes long enough to keep callers waiting.
        let encoding = tokio::task::spawn_blocking(move || encode(base.as_deref(), &target));
        // The panic hook reports a panic of the thread.
        let encoded = encoding.await.ok()??;
        lock(&self.outgoing).add_encoded(encoded.clone());
        Some(encoded)
    }

    fn entry_to_ask(&self, relay: &Relay) -> Option<Peer> {
        let own = relay.table().map(|it| it.version());
        let mut incoming = lock(&self.incoming);
        let name = incoming.offers.entry_to_ask(own, relay.now_ms())?;
        incoming.peers.get(&name).cloned()
    }

    /// Waits until an entry may have to be asked.
    async fn until_offered(&self, relay: &Relay) {
        let own = relay.table().map(|it| it.version());
        if !lock(&self.incoming).offers.is_outdated(own) {
            return self.offered.notified().await;
        }
        // The platform may still deliver the configuration; the offers are looked at again in either case.
        let check = Duration::from_millis(OFFER_CHECK_MS);
        let _ = tokio::time::timeout(check, self.offered.notified()).await;
    }

    fn record_failure(&self, peer: &Peer) {
        lock(&self.incoming).offers.record_failure(&peer.name);
    }

    fn withdraw(&self, peer: &Peer) {
        lock(&self.incoming).offers.withdraw(&peer.name);
    }
}

impl Outgoing {
    /// Returns the configurations between which an entry needs the change that has the one `known`; the
    /// first is none if it needs everything.
    fn change_for(
        &self,
        known: Option<ConfigurationId>,
    ) -> Option<(Option<Arc<RouteTable>>, Arc<RouteTable>)> {
        let target = self.recent.back()?.clone();
        if known.is_some_and(|it| it.version >= target.version()) {
            return None;
        }
        let base = known.and_then(|id| self.recent.iter().find(|it| it.id() == id)).cloned();
        Some((base, target))
    }

    /// Returns an encoded change and moves it to the end, since it is used now.
    fn encoded(&mut self, is_wanted: impl Fn(TransferId) -> bool) -> Option<EncodedChange> {
        let position = self.encoded.iter().position(|it| is_wanted(it.transfer()))?;
        let encoded = self.encoded.remove(position)?;
        self.encoded.push_back(encoded.clone());
        Some(encoded)
    }

    fn add_encoded(&mut self, encoded: EncodedChange) {
        self.encoded.push_back(encoded);
        if self.encoded.len() > MAX_ENCODED {
            self.encoded.pop_front();
        }
    }
}

fn encode(base: Option<&RouteTable>, target: &RouteTable) -> Option<EncodedChange> {
    let begun = Instant::now();
    let known = base.map(|it| (it.id(), it.configuration().as_ref()));
    let change = ConfigurationChange::between(known, target.configuration());
    let bytes = match document::encode(&change) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(version = target.version(), error:% = error; "failed to encode configuration");
            return None;
        }
    };
    info!(
        version = target.version(),
        base = base.map_or(0, |it| it.version()),
        bytes = bytes.len(),
        took_ms = begun.elapsed().as_millis() as u64;
        "configuration encoded for other entries"
    );
    Some(EncodedChange::new(base.map(|it| it.id()), target.id(), bytes))
}

/// Returns the part that another entry asks for; none if it has the newest configuration.
pub(crate) async fn part(relay: &Arc<Relay>, request: PartRequest) -> Option<ConfigurationPart> {
    if let Some(id) = request.transfer
        && let Some(encoded) = lock(&relay.configurations.outgoing).encoded(|it| it == id)
    {
        return Some(encoded.part(request.offset));
    }
    let relay = relay.clone();
    // It goes on if the other entry asks again meanwhile.
    let encoding =
        tokio::spawn(async move { relay.configurations.encoded_change(request.known).await });
    Some(encoding.await.ok()??.part(0))
}

/// Fetches the configurations that other entries have and this one lacks, until `stop` is cancelled.
pub(crate) async fn fetch_offered(relay: Arc<Relay>, stop: CancellationToken) {
    let mut transfer = IncomingTransfer::default();
    let mut begun = Instant::now();
    while !stop.is_cancelled() {
        let Some(peer) = relay.configurations.entry_to_ask(&relay) else {
            tokio::select! {
                () = relay.configurations.until_offered(&relay) => continue,
                () = stop.cancelled() => return,
            }
        };
        let known = relay.table().map(|it| it.id());
        let request = transfer.next_request(known);
        if request.offset == 0 {
            begun = Instant::now();
        }
        let part = match fetch_part(&peer, request).await {
            Ok(Some(part)) => part,
            Ok(None) => {
                relay.configurations.withdraw(&peer);
                continue;
            }
            Err(error) => {
                warn!(entry:% = peer.name, offset = request.offset, error = error.as_str(); "failed to fetch part of a configuration");
                relay.configurations.record_failure(&peer);
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
        };
        match transfer.receive(part) {
            Received::Incomplete => {}
            Received::Complete(bytes) => {
                let took_ms = begun.elapsed().as_millis() as u64;
                if !activate(&relay, &peer, &bytes, took_ms) {
                    relay.configurations.withdraw(&peer);
                }
            }
            Received::Invalid => {
                warn!(entry:% = peer.name; "parts of a configuration do not fit, fetching it again");
                relay.configurations.record_failure(&peer);
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Fetches a part from another entry; none if it has nothing newer. An error is a description for logs.
async fn fetch_part(
    peer: &Peer,
    request: PartRequest,
) -> Result<Option<ConfigurationPart>, String> {
    let limit = Duration::from_millis(PART_TIMEOUT_MS);
    let call = peer.client.configuration_part(context_for(PART_TIMEOUT_MS), request);
    match tokio::time::timeout(limit, call).await {
        Ok(part) => part.map_err(|error| error.to_string()),
        Err(_) => Err("it did not arrive in time".to_owned()),
    }
}

/// Decodes a configuration and activates it; returns whether it could be decoded.
fn activate(relay: &Relay, peer: &Peer, bytes: &[u8], took_ms: u64) -> bool {
    let begun = Instant::now();
    let change: ConfigurationChange = match document::decode(bytes) {
        Ok(change) => change,
        Err(error) => {
            warn!(entry:% = peer.name, error:% = error; "configuration of another entry can't be decoded");
            return false;
        }
    };
    let base = change.base;
    let table = relay.table();
    let own = table.as_ref().map(|it| (it.id(), it.configuration().as_ref()));
    let Some(configuration) = change.apply(own) else {
        // The platform has delivered another one meanwhile.
        return true;
    };
    info!(
        entry:% = peer.name,
        version = configuration.version,
        base = base.map_or(0, |it| it.version),
        bytes = bytes.len(),
        took_ms = took_ms,
        decode_ms = begun.elapsed().as_millis() as u64;
        "configuration received"
    );
    let is_activated = relay.activate_configuration(RouteTable::new(configuration), &peer.name);
    // The platform has not delivered it in time, so the pending long polls may never get a response.
    if is_activated && table.is_some() && reads_lists(relay.reading.role()) {
        warn!(entry:% = peer.name; "platform did not deliver a configuration in time, relisting");
        relay.relist();
    }
    true
}
