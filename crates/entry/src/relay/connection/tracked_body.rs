//! Body of a response that tells its connection when it has ended.
//!
//! A failure is held back until hyper has written what came before it: hyper closes the connection on a
//! failed body and drops what it still buffers, which may be all of the response.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::relay::{
    connection::activity::Activity,
    request::{ResponseAborted, ResponseBody},
};

/// A body whose end, or the loss of its reader, is recorded in an [`Activity`].
pub(super) struct TrackedBody {
    body: ResponseBody,
    /// A failure of the body that is held back.
    failure: Option<ResponseAborted>,
    activity: Arc<Activity>,
}

impl TrackedBody {
    /// Tracks a body.
    pub(super) fn new(body: ResponseBody, activity: Arc<Activity>) -> Self {
        Self { body, failure: None, activity }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.end_response();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let Some(failure) = self.failure else {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
            let Some(Err(failure)) = frame else { return Poll::Ready(frame) };
            self.failure = Some(failure);
            // What the body holds is free now.
            self.body = ResponseBody::default();
            self.activity.await_flush(context.waker());
            return Poll::Pending;
        };
        if self.activity.awaits_flush() {
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(failure)))
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
