//! Response bodies of upstreams that are read to their end before they are used.
//!
//! An upstream in trouble may send bytes without end, so each body and all of them together are limited.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of a response body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a response body whose length is not stated, and which may thus never end, in bytes.
const MAX_UNSTATED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of the response to a call that the relay makes for itself, in bytes; the results of the
/// largest stage call take a few kilobytes.
const MAX_OWN_BYTES: usize = 256 * 1024;
/// Size up to which a body or an event does not count towards the total, in bytes; nearly all are smaller,
/// and a thousand of them at once fit into the memory of a small instance.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Total size of the larger bodies and events that are held at the same time, in kilobytes.
const TOTAL_KB: usize = 32 * 1024;
/// Maximum size of a body that is read only so that its connection can be reused, in bytes.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;
/// Time within which such a body has to end, in milliseconds; a new connection takes less.
const SKIP_TIMEOUT_MS: u64 = 100;

/// Why a body was not read to its end.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ReadError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The body exceeds the limit for one body, or for all that are read at the same time.
    #[display("body is too long")]
    #[from(ignore)]
    TooLong,
}

/// Limits on the bodies that are read at the same time.
#[derive(Debug)]
pub(crate) struct ResponseBuffers {
    total_kb: Arc<Semaphore>,
}

/// What one body or event takes of the total; given back when dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    total_kb: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBytes {
    /// Takes as much as this number of bytes needs, or gives back what it does not need; returns false if
    /// the total is exhausted.
    pub(crate) fn hold(&mut self, bytes: usize) -> bool {
        let counted_kb = bytes.saturating_sub(UNCOUNTED_BYTES).div_ceil(1024);
        let held_kb = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if counted_kb == 0 {
            self.permit = None;
            return true;
        }
        if counted_kb <= held_kb {
            let surplus = self.permit.as_mut().and_then(|it| it.split(held_kb - counted_kb));
            drop(surplus);
            return true;
        }
        let missing_kb = (counted_kb - held_kb) as u32;
        let Ok(added) = self.total_kb.clone().try_acquire_many_owned(missing_kb) else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
        true
    }
}

impl Default for ResponseBuffers {
    fn default() -> Self {
        Self { total_kb: Arc::new(Semaphore::new(TOTAL_KB)) }
    }
}

impl ResponseBuffers {
    /// Reads the body of a response to a caller to its end.
    pub(crate) async fn read(&self, body: Incoming) -> Result<Bytes, ReadError> {
        let has_length = body.size_hint().exact().is_some();
        let max_bytes = if has_length { MAX_RESPONSE_BYTES } else { MAX_UNSTATED_BYTES };
        self.read_limited(body, max_bytes).await
    }

    /// Reads the body of a response to a call that the relay made for itself to its end.
    pub(crate) async fn read_own(&self, body: Incoming) -> Result<Bytes, ReadError> {
        self.read_limited(body, MAX_OWN_BYTES).await
    }

    async fn read_limited(&self, mut body: Incoming, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut read = BytesMut::new();
        let mut held = self.hold_nothing();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(bytes) = frame?.into_data() else { continue };
            let read_bytes = read.len() + bytes.len();
            if read_bytes > max_bytes {
                return Err(ReadError::TooLong);
            }
            if !held.hold(read_bytes) {
                return Err(ReadError::TooLong);
            }
            read.extend_from_slice(&bytes);
        }
        Ok(read.freeze())
    }

    /// Returns a part of the total that is empty so far.
    pub(crate) fn hold_nothing(&self) -> HeldBytes {
        HeldBytes { total_kb: self.total_kb.clone(), permit: None }
    }

    /// Reads a short body to its end without keeping it; tells whether it ended.
    pub(crate) async fn skip(&self, mut body: Incoming) -> bool {
        let reading = async {
            let mut skipped_bytes = 0;
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return false };
                skipped_bytes += frame.data_ref().map_or(0, Bytes::len);
                if skipped_bytes > MAX_SKIPPED_BYTES {
                    return false;
                }
            }
            true
        };
        let limit = Duration::from_millis(SKIP_TIMEOUT_MS);
        tokio::time::timeout(limit, reading).await.unwrap_or(false)
    }
}
