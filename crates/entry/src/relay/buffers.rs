//! Response bodies of upstreams that are read to their end before they are used.
//!
//! An upstream in trouble may send bytes without end, and a caller may read in its own time, so each body and
//! all of them together are limited until the callers have them.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of a response body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a response body whose length is not stated, and which may thus never end, in bytes.
const MAX_UNSTATED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of the response to a call that the relay makes for itself, in bytes; the results of the
/// largest stage call take a few kilobytes.
const MAX_OWN_BYTES: usize = 256 * 1024;
/// Size up to which a body or an event does not count towards the limits, in bytes; nearly all are smaller,
/// and a thousand of them at once fit into the memory of a small instance.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size of the parts in which a body is handed to hyper, in bytes. hyper keeps a buffer as large as the
/// largest part until the connection is closed.
const PART_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is read only so that its connection can be reused, in bytes.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;
/// Time within which such a body has to end, in milliseconds; a new connection takes less.
const SKIP_TIMEOUT_MS: u64 = 100;

/// Why a body was not read to its end.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ReadError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The body exceeds the limit for one body.
    #[display("body is too long")]
    #[from(ignore)]
    TooLong,
    /// Other bodies take all the memory for them.
    #[display("no memory for the body")]
    #[from(ignore)]
    NoMemory,
}

/// A body that was read to its end, and what it takes of its pool until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldResponse {
    bytes: Bytes,
    _held: HeldBytes,
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let part_bytes = self.bytes.len().min(PART_BYTES);
        let part = self.bytes.split_to(part_bytes);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Limits on the larger bodies and events that are held at the same time.
///
/// Responses on their way to callers have a limit of their own: slow callers may use it up for seconds, and
/// streams and the relay's own calls must go on.
#[derive(Debug)]
pub(crate) struct ResponseBuffers {
    responses: Pool,
    others: Pool,
}

/// Memory for one use.
#[derive(Debug)]
struct Pool {
    limit_kb: usize,
    free_kb: Arc<Semaphore>,
}

/// What one body or event takes of its pool; given back when dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    free_kb: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBytes {
    /// Takes as much as this number of bytes needs, or gives back what it does not need; returns false if
    /// the pool is exhausted.
    pub(crate) fn hold(&mut self, bytes: usize) -> bool {
        let counted_kb = counted_kb(bytes);
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
        let Ok(added) = self.free_kb.clone().try_acquire_many_owned(missing_kb) else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
        true
    }

    /// Takes as much as this number of bytes needs, once it is free.
    async fn hold_when_free(&mut self, bytes: usize) {
        let counted_kb = counted_kb(bytes);
        // Two that hold a part and wait for more would wait for each other.
        self.permit = None;
        if counted_kb > 0 {
            // The semaphore is never closed.
            self.permit = self.free_kb.clone().acquire_many_owned(counted_kb as u32).await.ok();
        }
    }
}

impl ResponseBuffers {
    /// Limits the responses to callers to this many bytes and all others to half as much, each at least to one
    /// body of the largest size.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { responses: Pool::new(limit_bytes), others: Pool::new(limit_bytes / 2) }
    }

    /// Returns the size of the larger bodies and events that are held, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.responses.held_bytes() + self.others.held_bytes()
    }

    /// Reads the body of a response to a caller to its end. With `waits_for_memory`, one with a stated length
    /// waits until there is memory for it.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        waits_for_memory: bool,
    ) -> Result<HeldResponse, ReadError> {
        let mut held = self.responses.hold_nothing();
        let max_bytes = max_bytes(&body);
        if let Some(length) = body.size_hint().exact()
            && length <= max_bytes as u64
            && waits_for_memory
        {
            held.hold_when_free(length as usize).await;
        }
        let bytes = read_limited(body, max_bytes, &mut held).await?;
        Ok(HeldResponse { bytes, _held: held })
    }

    /// Reads a list that the relay has asked an upstream for to its end.
    pub(crate) async fn read_list(&self, body: Incoming) -> Result<Bytes, ReadError> {
        let max_bytes = max_bytes(&body);
        read_limited(body, max_bytes, &mut self.hold_nothing()).await
    }

    /// Reads the body of a response to a call that the relay made for itself to its end.
    pub(crate) async fn read_own(&self, body: Incoming) -> Result<Bytes, ReadError> {
        read_limited(body, MAX_OWN_BYTES, &mut self.hold_nothing()).await
    }

    /// Returns what an incomplete event takes, nothing so far.
    pub(crate) fn hold_nothing(&self) -> HeldBytes {
        self.others.hold_nothing()
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

impl Pool {
    fn new(limit_bytes: usize) -> Self {
        let limit_kb = limit_bytes.max(MAX_RESPONSE_BYTES) / 1024;
        Self { limit_kb, free_kb: Arc::new(Semaphore::new(limit_kb)) }
    }

    fn held_bytes(&self) -> usize {
        self.limit_kb.saturating_sub(self.free_kb.available_permits()) * 1024
    }

    fn hold_nothing(&self) -> HeldBytes {
        HeldBytes { free_kb: self.free_kb.clone(), permit: None }
    }
}

/// Returns the maximum size of a body, in bytes.
fn max_bytes(body: &Incoming) -> usize {
    if body.size_hint().exact().is_some() { MAX_RESPONSE_BYTES } else { MAX_UNSTATED_BYTES }
}

/// Returns how much a body or event counts, in kilobytes.
fn counted_kb(bytes: usize) -> usize {
    bytes.saturating_sub(UNCOUNTED_BYTES).div_ceil(1024)
}

/// Reads a body to its end. The memory for one with a stated length is taken at once, so that bodies don't fill
/// it in part and wait for each other.
async fn read_limited(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Bytes, ReadError> {
    let length = body.size_hint().exact().unwrap_or(0);
    if length > max_bytes as u64 {
        return Err(ReadError::TooLong);
    }
    let length = length as usize;
    if !held.hold(length) {
        return Err(ReadError::NoMemory);
    }
    let mut read = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(bytes) = frame?.into_data() else { continue };
        let read_bytes = read.len() + bytes.len();
        if read_bytes > max_bytes {
            return Err(ReadError::TooLong);
        }
        if !held.hold(read_bytes.max(length)) {
            return Err(ReadError::NoMemory);
        }
        read.extend_from_slice(&bytes);
    }
    Ok(read.freeze())
}
