//! A stream of changes of one kind.

use std::{io, marker::PhantomData, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, stream::BoxStream};
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::Instant;
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

use crate::{
    Object, PlatformError, ResourceVersion,
    answer::Exchange,
    wire::{Envelope, Status, VersionOnly},
};

/// Longest line of a watch, in bytes; an object may be escaped more widely than it was sent.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

type Lines = FramedRead<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, LinesCodec>;

/// One change of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent<T> {
    /// An object was created.
    Added(Object<T>),
    /// An object was replaced.
    Modified(Object<T>),
    /// An object was deleted; it carries its last content.
    Deleted(Object<T>),
    /// Every change up to this version has been delivered.
    Bookmark(ResourceVersion),
}

impl<T> WatchEvent<T> {
    /// Returns the version from which a later watch continues without a gap.
    pub fn resource_version(&self) -> &ResourceVersion {
        match self {
            Self::Added(object) | Self::Modified(object) | Self::Deleted(object) => {
                &object.resource_version
            }
            Self::Bookmark(version) => version,
        }
    }
}

/// One line of a watch in JSON.
#[derive(Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "UPPERCASE")]
enum Line<T> {
    Added(Envelope<T>),
    Modified(Envelope<T>),
    Deleted(Envelope<T>),
    Bookmark(VersionOnly),
    Error(Status),
}

/// An open watch.
pub struct Watch<T> {
    exchange: Exchange,
    lines: Lines,
    end: Instant,
    spec: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Watch<T> {
    pub(crate) fn new(exchange: Exchange, body: Incoming, lifetime: Duration) -> Self {
        let chunks = body.into_data_stream().map_err(io::Error::other).boxed();
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let lines = FramedRead::new(StreamReader::new(chunks), codec);
        Self { exchange, lines, end: Instant::now() + lifetime, spec: PhantomData }
    }

    /// Waits for the next change; `None` means that the platform ended the watch in order.
    ///
    /// Dropping the future loses no change.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer holds the changes, `Unavailable` when the stream
    /// breaks or outlives its time-out, and `Invalid` when a line does not follow the API.
    pub async fn next(&mut self) -> Result<Option<WatchEvent<T>>, PlatformError> {
        let line = match tokio::time::timeout_at(self.end, self.lines.next()).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(line))) => line,
            Ok(Some(Err(error))) => {
                return Err(self.exchange.unavailable(format!("watch cut: {error}"), None));
            }
            Err(_) => return Err(self.exchange.timed_out()),
        };
        self.decode(&line).map(Some)
    }

    /// Ends the watch and closes its connection.
    pub fn close(self) {
        drop(self.lines);
    }

    fn decode(&self, line: &str) -> Result<WatchEvent<T>, PlatformError> {
        let line = serde_json::from_str(line)
            .map_err(|error| self.exchange.invalid(format!("watch event: {error}")))?;
        match line {
            Line::Added(envelope) => Ok(WatchEvent::Added(self.object(envelope)?)),
            Line::Modified(envelope) => Ok(WatchEvent::Modified(self.object(envelope)?)),
            Line::Deleted(envelope) => Ok(WatchEvent::Deleted(self.object(envelope)?)),
            Line::Bookmark(bookmark) => {
                Ok(WatchEvent::Bookmark(bookmark.metadata.resource_version))
            }
            Line::Error(status) => Err(self.failure(&status)),
        }
    }

    fn object(&self, envelope: Envelope<T>) -> Result<Object<T>, PlatformError> {
        envelope.into_object().map_err(|detail| self.exchange.invalid(detail))
    }

    fn failure(&self, status: &Status) -> PlatformError {
        if status.code == StatusCode::GONE.as_u16() {
            return PlatformError::Gone { object: self.exchange.object.clone() };
        }
        let detail = format!("{} {}: {}", status.code, status.reason, status.message);
        self.exchange.unavailable(detail, None)
    }
}
