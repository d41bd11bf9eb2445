//! Calls entries at their peer addresses, which the instance list contains.

use std::{net::SocketAddr, time::Duration};

use yuccatrail_core::{
    control::{ControlUpdate, Versions},
    ids::Incarnation,
};
use yuccatrail_rpc::messages::{Ages, SyncRequest};

use super::entry_status::{EntryStatus, StatusError};
use crate::{gossip, link::context_for};

/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Versions that no entry exceeds, so that the reply carries no control state.
const NO_UPDATE_WANTED: Versions = Versions { config: u64::MAX, operations: u64::MAX };

/// Reads the versions that the entry at `address` holds.
pub(crate) async fn read(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    send(address, ControlUpdate::default()).await
}

/// Sends accepted control state to the entry at `address`, and reads the versions that the entry
/// holds afterwards.
pub(crate) async fn send(
    address: SocketAddr,
    update: ControlUpdate,
) -> Result<EntryStatus, StatusError> {
    let Some(client) = gossip::connect(address).await else {
        return Err(StatusError::unreachable("no connection"));
    };
    let request = SyncRequest {
        from: Incarnation(rand::random()),
        versions: NO_UPDATE_WANTED,
        update,
        ages: Ages::default(),
        echo: None,
        is_listed_leaving: false,
        instances: Vec::new(),
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
