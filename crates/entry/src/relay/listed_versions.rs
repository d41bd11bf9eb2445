//! Reads from the platform which software versions a service has now.
//!
//! An entry that was cut off or paused does not know that its list is out of date. Where a wrong version
//! would do harm, the list is read again for the question at hand.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::{StoreChange, servers_protocol};
use yuccatrail_core::{FastMap, FastSet, upstreams::UpstreamRecord};
use yuccatrail_platform::{Client, PlatformError};

use crate::relay::state::Relay;

/// Minimum interval between two readings, in milliseconds; all questions in between share one.
const MIN_INTERVAL_MS: u64 = 1_000;

type VersionsByService = FastMap<Arc<str>, FastSet<Arc<str>>>;

/// Software versions that the platform listed.
#[derive(Clone, Debug, Default)]
struct Listed {
    /// Time at which the reading began, in milliseconds; none before the first.
    began_ms: Option<u64>,
    by_service: Arc<VersionsByService>,
}

/// Latest reading, and requests for another one.
#[derive(Debug, Default)]
pub(crate) struct ListedVersions {
    wanted: Notify,
    listed: watch::Sender<Listed>,
}

impl ListedVersions {
    /// Tells whether the platform lists no other version of a service now; false if it does not respond
    /// within `limit`.
    pub(crate) async fn is_only(
        &self,
        relay: &Relay,
        service: &str,
        version: &str,
        limit: Duration,
    ) -> bool {
        let asked_ms = relay.now_ms();
        let mut listed = self.listed.subscribe();
        self.wanted.notify_one();
        let is_recent = |it: &Listed| it.began_ms.is_some_and(|began_ms| began_ms >= asked_ms);
        let Ok(Ok(listed)) = tokio::time::timeout(limit, listed.wait_for(is_recent)).await else {
            info!(service = service; "platform did not confirm the versions of a service in time");
            return false;
        };
        let versions = listed.by_service.get(service);
        versions.is_none_or(|it| it.iter().all(|it| it.as_ref() == version))
    }
}

/// Reads the versions whenever they are wanted, until `stop` is cancelled.
pub(crate) async fn read_when_wanted(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = relay.listed_versions.wanted.notified() => {}
            () = stop.cancelled() => return,
        }
        let began_ms = relay.now_ms();
        match read(&client).await {
            Ok(by_service) => {
                if has_unknown_version(&relay, &by_service) {
                    info!("the list of upstreams lacks a version, relisting");
                    relay.relist();
                }
                let listed = Listed { began_ms: Some(began_ms), by_service: Arc::new(by_service) };
                relay.listed_versions.listed.send_replace(listed);
            }
            Err(error) => warn!(error:% = error; "failed to read the versions of services"),
        }
        let took_ms = relay.now_ms().saturating_sub(began_ms);
        let rest_ms = MIN_INTERVAL_MS.saturating_sub(took_ms);
        tokio::time::sleep(Duration::from_millis(rest_ms)).await;
    }
}

/// Tells whether this entry knows no upstream of a version that the platform lists.
fn has_unknown_version(relay: &Relay, by_service: &VersionsByService) -> bool {
    let upstreams = relay.upstreams();
    for (service, versions) in by_service {
        let known: FastSet<&str> =
            upstreams.of_service(service).map(|(_, it)| it.record.version.as_ref()).collect();
        if versions.iter().any(|it| !known.contains(it.as_ref())) {
            return true;
        }
    }
    false
}

async fn read(client: &Client) -> Result<VersionsByService, PlatformError> {
    let listing = client.list_pages(&servers_protocol()).await?;
    // A page that can't be read may hold another version.
    if let Some(error) = listing.failure {
        return Err(error);
    }
    let mut by_service: VersionsByService = FastMap::default();
    for change in listing.items {
        let StoreChange::Present { content, .. } = change else { continue };
        let UpstreamRecord { service, version, .. } = content;
        by_service.entry(service).or_default().insert(version);
    }
    Ok(by_service)
}
