//! Checks whether the platform answers, beside polls that wait.
//!
//! Polls that wait can't tell a platform without changes from one whose answers are lost.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::entry_stale_read_path;
use yuccatrail_platform::{CallKind, Client, PlatformError, PollSuspicion};

use crate::relay::state::Relay;

/// Reads the own record again and again, and makes the feeds list again where no answer comes.
pub(crate) async fn check(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let name = &relay.settings.name;
    let path = entry_stale_read_path(name);
    let mut suspicion = PollSuspicion::default();
    while !stop.is_cancelled() {
        let failure = match client.read(CallKind::Read, name, &path, 0).await {
            Err(error @ PlatformError::Unavailable { .. }) => Some(error),
            // An answer is an answer, whatever it says of the record.
            Ok(_) | Err(_) => None,
        };
        let outcome = suspicion.on_check(failure.is_none(), relay.now_ms());
        relay.set_platform_unresponsive(failure.is_some());
        if outcome.breaks_polls {
            match failure {
                Some(error) => {
                    warn!(error:% = error; "platform did not answer a check, lists are read again")
                }
                None => info!("platform answers again, lists are read again"),
            }
            relay.relist();
        }
        tokio::time::sleep(Duration::from_millis(outcome.next_check_ms)).await;
    }
}
