//! Reads the status of an entry over HTTP, at its address for callers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::{client::legacy, rt::TokioExecutor};

use super::entry_status::{EntryStatus, StatusError};

/// Timeout of a status call, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// Maximum size of a status response, in bytes.
const MAX_STATUS_BYTES: usize = 16 * 1024 * 1024;

/// Reads the status of the entry at `address`.
pub(crate) async fn read(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    let timeout = Duration::from_millis(STATUS_TIMEOUT_MS);
    match tokio::time::timeout(timeout, request(address)).await {
        Ok(result) => result,
        Err(_) => {
            Err(StatusError::unreachable(format!("no response within {STATUS_TIMEOUT_MS} ms")))
        }
    }
}

async fn request(address: SocketAddr) -> Result<EntryStatus, StatusError> {
    let client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}/v1/status"))
        .body(Full::<Bytes>::default())
        .map_err(|error| StatusError::unexpected(error.to_string()))?;
    let response =
        client.request(request).await.map_err(|it| StatusError::unreachable(it.to_string()))?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(StatusError::unexpected(format!("HTTP status {status}")));
    }
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES).collect().await;
    let body = body.map_err(|it| StatusError::unreachable(it.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|it| StatusError::unexpected(it.to_string()))
}
