//! Limit on the bytes that an upstream sends before the head of its response.
//!
//! Any number of informational responses (1xx) may precede a response. hyper skips them while bytes
//! arrive, so that an upstream that sends them without end would take all processor time.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use yuccatrail_runtime::response_end::EndCheckedStream;

use crate::relay::observed_stream::ObservedStream;

/// Most bytes up to the end of a head, informational responses and the first part of the body included.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Value while the limit does not apply.
const LIFTED: usize = usize::MAX;

/// Bytes that may still arrive before the head of a response is complete.
#[derive(Debug)]
pub(super) struct HeadLimit {
    left_bytes: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self { left_bytes: AtomicUsize::new(LIFTED) }
    }
}

impl HeadLimit {
    /// Returns a connection that fails once the limit is exceeded.
    pub(super) fn apply(
        self: &Arc<Self>,
        stream: EndCheckedStream,
    ) -> ObservedStream<EndCheckedStream> {
        let limit = self.clone();
        ObservedStream::new(stream, move |bytes| limit.take(bytes))
    }

    /// Applies the limit to the response of the next request.
    pub(super) fn begin(&self) {
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, since the head is complete.
    pub(super) fn lift(&self) {
        self.left_bytes.store(LIFTED, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived; fails once they exceed the limit.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let order = Ordering::Relaxed;
        let taken = self.left_bytes.fetch_update(order, order, |left_bytes| match left_bytes {
            LIFTED => Some(LIFTED),
            _ => left_bytes.checked_sub(bytes),
        });
        let detail = "too many bytes before the head of the response";
        taken.map(|_| ()).map_err(|_| io::Error::new(io::ErrorKind::InvalidData, detail))
    }
}
