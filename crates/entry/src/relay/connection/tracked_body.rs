//! Body of a response that tells its connection when it has ended.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
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
    activity: Arc<Activity>,
}

impl TrackedBody {
    /// Tracks a body.
    pub(super) fn new(body: ResponseBody, activity: Arc<Activity>) -> Self {
        Self { body, activity }
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
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
