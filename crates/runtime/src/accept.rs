//! Accept loop of the TCP servers.

use std::{
    io,
    panic::{AssertUnwindSafe, catch_unwind},
    time::{Duration, Instant},
};

use log::{error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example because the process has run out of file descriptors;
/// some may be closed meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which failed accepts are logged; they come every few milliseconds.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Passes each accepted connection to `handle` until `stop` is cancelled.
///
/// A connection for which `handle` panics is closed; the others are not affected.
pub async fn accept(
    listener: &TcpListener,
    stop: &CancellationToken,
    mut handle: impl FnMut(TcpStream),
) {
    let mut logged_at = None;
    loop {
        let accepted = tokio::select! {
            // Connections that the kernel has accepted by the time of the stop are passed on too.
            biased;
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // The panic hook has logged the panic.
                if catch_unwind(AssertUnwindSafe(|| handle(stream))).is_err() {
                    error!("connection closed, its handler panicked");
                }
            }
            Err(_) if stop.is_cancelled() => return,
            Err(error) => {
                log_failure(&error, &mut logged_at);
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn log_failure(error: &io::Error, logged_at: &mut Option<Instant>) {
    let now = Instant::now();
    if logged_at.is_some_and(|it| now.duration_since(it) < LOG_INTERVAL) {
        return;
    }
    *logged_at = Some(now);
    warn!(error:% = error; "failed to accept a connection");
}

#[cfg(test)]
mod tests;
