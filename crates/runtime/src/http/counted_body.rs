//! Body of a response for which its request counts until it has been sent.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::Body;
use crate::open_connections::OpenRequest;

/// A body that ends its request when it is dropped.
pub(super) struct CountedBody {
    body: Body,
    _request: OpenRequest,
}

impl CountedBody {
    /// Lets a request count until its response has been sent.
    pub(super) fn new(body: Body, request: OpenRequest) -> Self {
        Self { body, _request: request }
    }
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
