//! Passes an accepted change on to the entries.
//!
//! Entries read the platform only now and then. A platform that goes down right after it accepted a
//! change would keep the change from all of them.

use std::net::SocketAddr;

use futures::future::join_all;
use yuccatrail_core::{
    control::ControlUpdate,
    membership::{InstanceRecord, InstanceRole},
};
use yuccatrail_platform::{Client, Kind};

use super::peer_status;

/// Entries that a command passes its change on to; they spread it to all the others.
const MAX_ENTRIES: usize = 16;

/// Peer addresses of the entries, read while a change is made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entries(Vec<SocketAddr>);

impl Entries {
    /// Reads the instance list; without an answer there is nobody to pass the change on to.
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

    /// Passes a change on; entries that can't be reached learn it from the platform or from others.
    pub(crate) async fn announce(&self, update: ControlUpdate) {
        let sent = self.0.iter().map(|it| peer_status::send(*it, update.clone()));
        join_all(sent).await;
    }
}
