//! Signals that request a graceful shutdown.

use std::io;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled by the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when a signal handler cannot be installed.
pub fn stop_signal() -> io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(token)
}
