//! HTTP/1 connections to upstreams.
//!
//! A connection carries one request at a time and is reused only after a complete response.
//! Dropping it closes it at once, which tells the upstream to cancel the request.

mod head_limit;
mod recent_results;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use log::debug;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};
use yuccatrail_core::{FastMap, upstreams::UpstreamKey};
use yuccatrail_runtime::{
    http::BodyFraming,
    response_end::{EndCheckedStream, ResponseEnd},
};

use crate::relay::{
    pool::{head_limit::HeadLimit, recent_results::RecentResults},
    state::lock,
};

/// Timeout for opening a connection, in milliseconds; far above a round trip within a region.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time after which a connection with unacknowledged bytes, or whose peer has no room for more, is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of the read buffer of a connection, in bytes, and thus of the largest head of a response. Hundreds
/// of connections to upstreams that send without end must fit into the memory of a small instance.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Idle time before TCP keepalive probes and between them, in seconds; the shortest that the system
/// accepts.
const KEEPALIVE_INTERVAL_S: u64 = 1;
/// Unanswered TCP keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle time after which a connection is not reused, in milliseconds, unless the upstream states a
/// shorter one.
const MAX_IDLE_MS: u64 = 4_000;
/// Fraction of the upstream's idle timeout within which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Maximum number of idle connections for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Why no response headers arrived.
#[derive(Debug, Display, Error, From)]
pub(crate) enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Connect(std::io::Error),
    /// The connection was closed before any of the request was written.
    #[display("connection was closed before the request was sent")]
    #[from(ignore)]
    NotSent,
    /// The request was written, at least in part, and the connection broke.
    #[display("no response: {_0}")]
    Lost(hyper::Error),
}

/// Identifies a connection among all that this process opens.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) struct ConnectionId(u64);

/// An open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Identifier, which no later connection has.
    pub(crate) id: ConnectionId,
    /// Stage results that its responses have named.
    pub(crate) results: RecentResults,
    sender: http1::SendRequest<Full<Bytes>>,
    head_limit: Arc<HeadLimit>,
    response_end: ResponseEnd,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// Idle connections of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    next_id: AtomicU64,
    idle: Mutex<FastMap<UpstreamKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Opens a connection to an upstream.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let id = ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed));
        Connection::open(id, address).await
    }

    /// Takes the idle connection that was used last, is still usable and is not among `excluded`.
    pub(crate) fn take_idle(
        &self,
        upstream: UpstreamKey,
        excluded: &[ConnectionId],
        now_ms: u64,
    ) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&upstream)?;
        let is_allowed = |it: &IdleConnection| !excluded.contains(&it.connection.id);
        while let Some(index) = connections.iter().rposition(is_allowed) {
            let candidate = connections.remove(index);
            if candidate.expires_ms > now_ms && !candidate.connection.sender.is_closed() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse; its last response must have been read completely.
    pub(crate) fn store_idle(
        &self,
        upstream: UpstreamKey,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
        now_ms: u64,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let usable_ms =
            idle_timeout_ms.map_or(MAX_IDLE_MS, |it| (it as f64 * IDLE_TIMEOUT_FRACTION) as u64);
        let expires_ms = now_ms + usable_ms.min(MAX_IDLE_MS);
        let mut idle = lock(&self.idle);
        let connections = idle.entry(upstream).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection { connection, expires_ms });
        }
    }

    /// Closes connections that have been idle for too long, and those of upstreams that no longer
    /// exist.
    pub(crate) fn expire(&self, exists: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        lock(&self.idle).retain(|key, connections| {
            connections.retain(|it| it.expires_ms > now_ms && !it.connection.sender.is_closed());
            !connections.is_empty() && exists(*key)
        });
    }

    /// Closes all idle connections of an upstream.
    pub(crate) fn close_idle(&self, upstream: UpstreamKey) {
        lock(&self.idle).remove(&upstream);
    }
}

impl Connection {
    /// Connects to an upstream within the timeout.
    async fn open(id: ConnectionId, address: SocketAddr) -> Result<Self, SendError> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
        set_socket_options(&stream, KEEPALIVE_PROBES)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let head_limit = Arc::new(HeadLimit::default());
        let stream = EndCheckedStream::new(stream);
        let response_end = stream.response_end();
        let io = TokioIo::new(head_limit.apply(stream));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(io).await?;
        let driver = tokio::spawn(async move {
            // The request in progress gets the same error.
            if let Err(error) = connection.await {
                debug!(error:% = error; "connection to an upstream failed");
            }
        });
        Ok(Self { id, results: RecentResults::default(), sender, head_limit, response_end, driver })
    }

    /// Sends a request and waits for the response headers.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.head_limit.begin();
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                return SendError::NotSent;
            }
            SendError::Lost(error.into_error())
        })?;
        self.head_limit.lift();
        if BodyFraming::of(response.status(), response.headers()) != BodyFraming::Close {
            self.response_end.set_marked();
        }
        Ok(response)
    }

    /// Returns the end of the last response.
    pub(crate) fn response_end(&self) -> &ResponseEnd {
        &self.response_end
    }
}

/// Makes the system close a connection on which nothing is awaited from the peer once that many probes are
/// unanswered, one a second, and disables Nagle's algorithm.
pub(crate) fn set_socket_options(stream: &TcpStream, keepalive_probes: u32) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(keepalive_probes);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
