//! Talks to an entry at its peer address, which the instance list holds.

use std::{net::SocketAddr, time::Duration};

use yuccatrail_core::{
    control::{ControlUpdate, Versions},
    ids::Incarnation,
};
use yuccatrail_rpc::messages::{Ages, SyncRequest};

use super::entry_status::{EntryStatus, StatusError};
use crate::{gossip, link::context_for};

/// Time for one status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Versions that no entry exceeds, so that its answer carries no control state.
const NOTHING_WANTED: Versions = Versions { config: u64::MAX, operations: u64::MAX };

/// Reads the versions that the entry at `address` holds.
pub(crate) async fn read(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    send(address, ControlUpdate::default()).await
}

/// Passes on control state that was accepted, and reads the versions that the entry holds then.
pub(crate) async fn send(
    address: SocketAddr,
    update: ControlUpdate,
) -> Result<EntryStatus, StatusError> {
    let Some(client) = gossip::connect(address).await else {
        return Err(StatusError::unreachable("no connection"));
    };
    let request = SyncRequest {
        from: Incarnation(rand::random()),
        versions: NOTHING_WANTED,
        update,
        ages: Ages::default(),
        echo: None,
        is_listed_leaving: false,
        strikes: Vec::new(),
    };
    match client.sync(context_for(STATUS_TIMEOUT), request).await {
        Ok(reply) => Ok(EntryStatus {
            incarnation: reply.feedback.incarnation.to_string(),
            versions: reply.feedback.versions,
            upstreams: None,
        }),
        Err(error) => Err(StatusError::unreachable(error.to_string())),
    }
}
