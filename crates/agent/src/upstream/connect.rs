//! Connector that reaches only one boot of the upstream.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::future::join;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, Uri, client::conn::http1, header};
use hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo};
use tower_service::Service;
use yuccatrail_runtime::response_end::EndCheckedStream;

use super::{Health, MAX_HEALTH_BYTES};

type Connection = TokioIo<EndCheckedStream>;
type Connecting = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;

/// Opens connections, and closes those that reach another boot than the expected one.
///
/// The decision to dispatch a call is based on the state of one boot. If the upstream restarted
/// between the decision and the opening of the connection, the call would otherwise reach a cold
/// engine.
#[derive(Clone, Debug)]
pub(super) struct BootConnector {
    connector: HttpConnector,
    address: SocketAddr,
    /// The only boot that connections may reach; `None` if no boot is known yet.
    boot_id: Option<u64>,
}

impl BootConnector {
    /// Creates a connector for the upstream at `address`.
    pub(super) fn new(connector: HttpConnector, address: SocketAddr, boot_id: Option<u64>) -> Self {
        Self { connector, address, boot_id }
    }
}

impl Service<Uri> for BootConnector {
    type Response = Connection;
    type Error = io::Error;
    type Future = Connecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connector.poll_ready(context).map_err(io::Error::other)
    }

    fn call(&mut self, target: Uri) -> Connecting {
        let connecting = self.connector.call(target);
        let (address, expected) = (self.address, self.boot_id);
        Box::pin(async move {
            // The error remains in the source chain, by which a refused connection is
            // distinguished.
            let connection = connecting.await.map_err(io::Error::other)?;
            let connection = TokioIo::new(EndCheckedStream::new(connection.into_inner()));
            let (connection, boot_id) = fetch_boot_id(connection, address).await?;
            if expected.is_some_and(|it| it != boot_id) {
                return Err(io::Error::other("the upstream has been restarted"));
            }
            Ok(connection)
        })
    }
}

/// Requests the boot identifier from the health endpoint; returns the connection and the
/// identifier.
async fn fetch_boot_id(
    connection: Connection,
    address: SocketAddr,
) -> io::Result<(Connection, u64)> {
    let (mut sender, driver) =
        http1::handshake::<_, Full<Bytes>>(connection).await.map_err(io::Error::other)?;
    let request = Request::get("/health")
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let health = async move {
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other(
                "the upstream's health endpoint did not return status 200",
            ));
        }
        let body = Limited::new(response.into_body(), MAX_HEALTH_BYTES).collect().await;
        let body = body.map_err(io::Error::other)?;
        serde_json::from_slice::<Health>(&body.to_bytes()).map_err(io::Error::other)
    };
    // The driver finishes and returns the connection once the sender is dropped.
    let (health, parts) = join(health, driver.without_shutdown()).await;
    let boot_id = health?.boot_id();
    Ok((parts.map_err(io::Error::other)?.io, boot_id))
}
