//! Checks whether the platform responds, independently of the long polls.
//!
//! A pending long poll can't distinguish a platform without changes from one whose responses are
//! lost.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio_util::sync::CancellationToken;
use yuccatrail_adapter::entry_stale_read_path;
use yuccatrail_core::ownership::ReadingRole;
use yuccatrail_platform::{CallKind, Client, PlatformError, PollWatchdog};

use crate::relay::{reading::checks_platform, state::Relay};

/// Interval of the checks of an entry that waits for others that read the platform; all entries but
/// the readers are in that position while the platform is away.
const ALONE_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);

/// Reads this entry's record periodically, and makes the feeds relist when that gets no response.
pub(crate) async fn check(relay: Arc<Relay>, client: Client, stop: CancellationToken) {
    let name = &relay.settings.name;
    let path = entry_stale_read_path(name);
    let mut watchdog = PollWatchdog::default();
    let mut role_signal = relay.relist_signal();
    while !stop.is_cancelled() {
        let role = role_signal.borrow_and_update().role;
        if !checks_platform(role) {
            watchdog = PollWatchdog::default();
            if role_signal.changed().await.is_err() {
                return;
            }
            continue;
        }
        let failure = match client.read(CallKind::Read, name, &path, 0).await {
            Err(error @ PlatformError::Unavailable { .. }) => Some(error),
            // Any response counts, whatever it says about the record.
            Ok(_) | Err(_) => None,
        };
        if role == ReadingRole::Checks {
            if failure.is_none() {
                relay.reading.record_platform_response();
            }
            let changed = role_signal.wait_for(|it| it.role != role);
            // Without a change of the role, the next check is due.
            let _ = tokio::time::timeout(ALONE_CHECK_INTERVAL, changed).await;
            continue;
        }
        let outcome = watchdog.on_check(failure.is_none(), relay.now_ms());
        relay.set_platform_unresponsive(failure.is_some());
        if outcome.cancels_polls {
            match failure {
                Some(error) => {
                    warn!(error:% = error; "platform check got no response, relisting")
                }
                None => info!("platform responds to checks again, relisting"),
            }
            relay.relist();
        }
        let next_check = tokio::time::sleep(Duration::from_millis(outcome.next_check_ms));
        tokio::select! {
            () = next_check => {}
            () = relay.check_platform_now.notified() => {}
        }
    }
}
