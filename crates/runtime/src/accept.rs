//! Loop that accepts TCP connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept; it fails when file descriptors run out, and waiting lets some close.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Passes each accepted connection to `handle` until `stop` is cancelled.
pub async fn accept(
    listener: &TcpListener,
    stop: &CancellationToken,
    mut handle: impl FnMut(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => handle(stream),
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}
