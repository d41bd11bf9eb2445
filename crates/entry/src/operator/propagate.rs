//! Sends an accepted change to the entries.
//!
//! Entries only read the platform from time to time. Without this, none of them would get a change
//! if the platform failed right after it had accepted the change.

use std::net::SocketAddr;

use futures::future::join_all;
use yuccatrail_core::{
    control::ControlUpdate,
    membership::{InstanceRecord, InstanceRole},
};
use yuccatrail_platform::{Client, Kind};

use super::peer_status;

/// Maximum number of entries to which a command sends its change; the others get it by gossip.
const MAX_ENTRIES: usize = 16;

/// Peer addresses of the entries to which a change is sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entries(Vec<SocketAddr>);

impl Entries {
    /// Reads the addresses from the instance list; returns none if the list cannot be read.
    pub(crate) async fn listed(client: &Client) -> Self {
        let Ok(list) = client.list::<InstanceRecord>(Kind::Instances).await else {
            return Self::default();
        };
        let mut addresses = Vec::new();
        for object in list.objects {
            if object.spec.role == InstanceRole::Entry && addresses.len() < MAX_ENTRIES {
                addresses.push(object.spec.address);
            }
        }
        Self(addresses)
    }

    /// Sends a change to the entries; an unreachable entry gets it from the platform or by gossip.
    pub(crate) async fn propagate(&self, update: ControlUpdate) {
        let sends = self.0.iter().map(|it| peer_status::send(*it, update.clone()));
        join_all(sends).await;
    }
}
