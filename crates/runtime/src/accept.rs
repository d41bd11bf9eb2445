//! Accept loop of the TCP servers.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example because the process has run out of file descriptors;
/// some may be closed meanwhile.
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
