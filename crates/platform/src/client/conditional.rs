//! Conditional writes, and reads of objects that may not exist.

use bytes::Bytes;
use hyper::{Method, StatusCode};

use crate::{
    CallKind, PlatformError,
    client::{Client, ReadReply},
    response::CallContext,
};

/// Response to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConditionalReply {
    /// The write has taken effect.
    Written(ReadReply),
    /// The object has changed since it was read, and the write had no effect; the body is the current
    /// object.
    Changed(ReadReply),
    /// The object does not exist.
    Missing,
}

impl Client {
    /// Writes `body`, whatever its format, to `path` on the condition that it contains; `object` names
    /// the object in errors.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when the write certainly had no effect, `AnswerLost` when it may have had
    /// one, also because the response was sent before a restore that this client knows of, and
    /// `Invalid` when the platform rejects it.
    pub async fn write_if_unchanged(
        &self,
        object: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ConditionalReply, PlatformError> {
        let context = CallContext::new(CallKind::Write, object.to_owned());
        let response = self.call(&context, method, path, body).await?;
        let status = response.status();
        if !matches!(status, StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            response.check(&context)?;
        }
        let era = self
            .check_era(&context, &response)
            .map_err(|error| context.response_lost(error.to_string()))?;
        let reply = ReadReply { era, body: response.into_body() };
        Ok(match status {
            StatusCode::NOT_FOUND => ConditionalReply::Missing,
            StatusCode::CONFLICT => ConditionalReply::Changed(reply),
            _ => ConditionalReply::Written(reply),
        })
    }

    /// Reads `path`, whatever its format, and returns the undecoded body of the response and its era;
    /// none if the object does not exist.
    ///
    /// # Errors
    ///
    /// As [`Self::read`].
    pub async fn read_if_present(
        &self,
        object: &str,
        path: &str,
    ) -> Result<Option<ReadReply>, PlatformError> {
        let context = CallContext::new(CallKind::Read, object.to_owned());
        let response = self.call(&context, Method::GET, path, Bytes::new()).await?;
        let is_missing = response.status() == StatusCode::NOT_FOUND;
        if !is_missing {
            response.check(&context)?;
        }
        let era = self.check_era(&context, &response)?;
        Ok((!is_missing).then(|| ReadReply { era, body: response.into_body() }))
    }
}
