//! Stream of the changes of one kind.

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
    response::CallContext,
    wire::{Envelope, Status, VersionOnly},
};

/// Maximum length of a line of a watch, in bytes; larger than the limit for objects because the
/// platform may use longer JSON escapes than the writer of the object.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

type Lines = FramedRead<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, LinesCodec>;

/// One change of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent<T> {
    /// An object was created.
    Added(Object<T>),
    /// The content of an object was replaced.
    Modified(Object<T>),
    /// An object was deleted; it carries its last content.
    Deleted(Object<T>),
    /// All changes up to this version have been delivered.
    Bookmark(ResourceVersion),
}

impl<T> WatchEvent<T> {
    /// Returns the version from which another watch continues without missing a change.
    pub fn resource_version(&self) -> &ResourceVersion {
        match self {
            Self::Added(object) | Self::Modified(object) | Self::Deleted(object) => {
                &object.resource_version
            }
            Self::Bookmark(version) => version,
        }
    }
}

/// JSON representation of one line of a watch.
#[derive(Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "UPPERCASE")]
enum WatchLine<T> {
    Added(Envelope<T>),
    Modified(Envelope<T>),
    Deleted(Envelope<T>),
    Bookmark(VersionOnly),
    Error(Status),
}

/// An open watch.
pub struct Watch<T> {
    context: CallContext,
    lines: Lines,
    deadline: Instant,
    spec: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Watch<T> {
    pub(crate) fn new(context: CallContext, body: Incoming, lifetime: Duration) -> Self {
        let chunks = body.into_data_stream().map_err(io::Error::other).boxed();
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let lines = FramedRead::new(StreamReader::new(chunks), codec);
        Self { context, lines, deadline: Instant::now() + lifetime, spec: PhantomData }
    }

    /// Waits for the next event; `None` means that the platform ended the watch regularly.
    ///
    /// The method is cancel safe: dropping the future loses no event.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer has the changes, `Unavailable` when the stream
    /// breaks or has not ended by its timeout, and `Invalid` when a line does not conform to the
    /// API.
    pub async fn next(&mut self) -> Result<Option<WatchEvent<T>>, PlatformError> {
        let line = match tokio::time::timeout_at(self.deadline, self.lines.next()).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(line))) => line,
            Ok(Some(Err(error))) => {
                return Err(self.context.unavailable(format!("watch interrupted: {error}"), None));
            }
            Err(_) => return Err(self.context.timed_out()),
        };
        self.decode(&line).map(Some)
    }

    /// Ends the watch and closes its connection.
    pub fn close(self) {
        drop(self.lines);
    }

    fn decode(&self, line: &str) -> Result<WatchEvent<T>, PlatformError> {
        let line = serde_json::from_str(line)
            .map_err(|error| self.context.invalid(format!("invalid watch event: {error}")))?;
        match line {
            WatchLine::Added(envelope) => Ok(WatchEvent::Added(self.object(envelope)?)),
            WatchLine::Modified(envelope) => Ok(WatchEvent::Modified(self.object(envelope)?)),
            WatchLine::Deleted(envelope) => Ok(WatchEvent::Deleted(self.object(envelope)?)),
            WatchLine::Bookmark(bookmark) => {
                Ok(WatchEvent::Bookmark(bookmark.metadata.resource_version))
            }
            WatchLine::Error(status) => Err(self.status_error(&status)),
        }
    }

    fn object(&self, envelope: Envelope<T>) -> Result<Object<T>, PlatformError> {
        envelope.into_object().map_err(|detail| self.context.invalid(detail))
    }

    fn status_error(&self, status: &Status) -> PlatformError {
        if status.code == StatusCode::GONE.as_u16() {
            return PlatformError::Gone { object: self.context.object.clone() };
        }
        let detail = format!("{} {}: {}", status.code, status.reason, status.message);
        self.context.unavailable(detail, None)
    }
}
