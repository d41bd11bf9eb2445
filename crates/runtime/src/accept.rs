//! Listening and accept loop of the TCP servers.

use std::{
    io,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    time::{Duration, Instant},
};

use log::{error, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example because the process has run out of file descriptors;
/// some may be closed meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted; the kernel may have a lower limit.
const QUEUED_CONNECTIONS: u32 = 4_096;
/// Interval at which failed accepts are logged; they come every few milliseconds.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Listens on an address, with a queue that holds the connections of a crowd until they are accepted.
///
/// The kernel drops the first packet of a connection that finds the queue full; it is sent again after a
/// second, by which time callers have given up.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // An instance that starts again need not wait for the connections of its earlier run.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(QUEUED_CONNECTIONS)
}

/// Passes each accepted connection to `handle` until `stop` is cancelled.
///
/// A connection for which `handle` panics is closed; the others are not affected.
pub async fn accept(
    listener: &TcpListener,
    stop: &CancellationToken,
    handle: impl FnMut(TcpStream),
) {
    accept_with_room(listener, stop, || std::future::ready(()), handle).await;
}

/// Like [`accept`], but waits for `until_room` before it passes a connection on, while the next ones stay in
/// the kernel's queue.
pub async fn accept_with_room<Fut: Future<Output = ()>>(
    listener: &TcpListener,
    stop: &CancellationToken,
    mut until_room: impl FnMut() -> Fut,
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
                tokio::select! {
                    () = until_room() => {}
                    () = stop.cancelled() => {}
                }
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
