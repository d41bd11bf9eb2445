//! Asks an entry for its status.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde::{Deserialize, Serialize};
use yuccatrail_core::control::Versions;

/// Time for one status call, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// Largest status that is read, in bytes.
const MAX_STATUS_BYTES: usize = 16 * 1024 * 1024;

/// Status of an entry, as far as operators need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryStatus {
    /// The run of the entry's process.
    pub(crate) incarnation: String,
    /// Versions of the control state that the entry holds.
    pub(crate) versions: Versions,
    /// Upstreams as the entry sees them.
    #[serde(default)]
    pub(crate) upstreams: Vec<UpstreamStatus>,
}

/// Status of an upstream as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamStatus {
    /// Name of the upstream.
    pub(crate) name: String,
    /// Whether the entry reaches the upstream's agent.
    #[serde(default)]
    pub(crate) connected: bool,
}

/// Why an entry's status is not known.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StatusError {
    /// No answer came.
    #[display("unreachable: {detail}")]
    Unreachable {
        /// What was observed.
        detail: String,
    },
    /// The answer is no status.
    #[display("unexpected answer: {detail}")]
    Unexpected {
        /// What was observed.
        detail: String,
    },
}

/// Reads the status of the entry at `address`.
pub(crate) async fn read(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    let timeout = Duration::from_millis(STATUS_TIMEOUT_MS);
    match tokio::time::timeout(timeout, request(address)).await {
        Ok(result) => result,
        Err(_) => Err(unreachable(format!("no answer within {STATUS_TIMEOUT_MS} ms"))),
    }
}

async fn request(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    let client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}/v1/status"))
        .body(Full::<Bytes>::default())
        .map_err(|error| unexpected(error.to_string()))?;
    let response = client.request(request).await.map_err(|it| unreachable(it.to_string()))?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(unexpected(format!("HTTP status {status}")));
    }
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES).collect().await;
    let body = body.map_err(|it| unreachable(it.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|it| unexpected(it.to_string()))
}

fn unreachable(detail: String) -> StatusError {
    StatusError::Unreachable { detail }
}

fn unexpected(detail: String) -> StatusError {
    StatusError::Unexpected { detail }
}
