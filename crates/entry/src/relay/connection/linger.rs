//! Close of a connection whose caller may still send the body of a request that was refused.

use std::{io, time::Duration};

use log::debug;
use tokio::net::TcpStream;

/// Time for which the rest of a body is discarded, in milliseconds. A caller has read the response by
/// then, or is not going to.
const LINGER_MS: u64 = 2_000;
/// Size of the buffer into which bytes are discarded.
const DISCARD_BYTES: usize = 16 * 1024;

/// Discards what a caller still sends after its last response, until it closes the connection.
///
/// A socket that is closed with unread bytes resets its connection, and the caller may lose a response
/// that it has not read yet (RFC 9112, section 9.6).
pub(super) async fn linger(stream: TcpStream) {
    let discarding = async {
        loop {
            stream.readable().await?;
            // Not held across an await, which would make it a part of each connection's task.
            let mut buffer = [0; DISCARD_BYTES];
            match stream.try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    };
    match tokio::time::timeout(Duration::from_millis(LINGER_MS), discarding).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(error:% = error; "caller of a refused request has left"),
        Err(_) => debug!("caller of a refused request still sends"),
    }
}
