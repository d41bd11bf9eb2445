//! Connections that reach only one run of the upstream.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::future::join;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, Uri, client::conn::http1, header};
use hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo};
use tokio::net::TcpStream;
use tower_service::Service;

use super::Health;

type Connection = TokioIo<TcpStream>;
type Connecting = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;

/// Opens connections and closes those that reach another run than the wanted one.
///
/// The decision to start a call rests on what is known of one run. A restart between the decision
/// and the opening of a connection would otherwise pass the call to a cold run.
#[derive(Clone, Debug)]
pub(super) struct RunConnector {
    connector: HttpConnector,
    address: SocketAddr,
    /// The only run that connections may reach, if one is known.
    run: Option<u64>,
}

impl RunConnector {
    /// Creates a connector for the upstream at `address`.
    pub(super) fn new(connector: HttpConnector, address: SocketAddr, run: Option<u64>) -> Self {
        Self { connector, address, run }
    }
}

impl Service<Uri> for RunConnector {
    type Response = Connection;
    type Error = io::Error;
    type Future = Connecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connector.poll_ready(context).map_err(io::Error::other)
    }

    fn call(&mut self, target: Uri) -> Connecting {
        let opening = self.connector.call(target);
        let (address, wanted) = (self.address, self.run);
        Box::pin(async move {
            // The cause stays in the chain, where a refused connection is told from other failures.
            let connection = opening.await.map_err(io::Error::other)?;
            let (connection, run) = ask_run(connection, address).await?;
            if wanted.is_some_and(|it| it != run) {
                return Err(io::Error::other("the upstream was restarted"));
            }
            Ok(connection)
        })
    }
}

/// Asks the health endpoint which run is at the other end; returns the connection and the run.
async fn ask_run(connection: Connection, address: SocketAddr) -> io::Result<(Connection, u64)> {
    let (mut sender, driver) =
        http1::handshake::<_, Full<Bytes>>(connection).await.map_err(io::Error::other)?;
    let request = Request::get("/health")
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let health = async move {
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other("the upstream tells no health"));
        }
        let body = response.into_body().collect().await.map_err(io::Error::other)?;
        serde_json::from_slice::<Health>(&body.to_bytes()).map_err(io::Error::other)
    };
    // The driver ends, and gives the connection back, once the sender is dropped.
    let (health, parts) = join(health, driver.without_shutdown()).await;
    let run = health?.run();
    Ok((parts.map_err(io::Error::other)?.io, run))
}
