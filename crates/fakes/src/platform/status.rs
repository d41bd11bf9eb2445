//! JSON responses; failures are described by a `Status` object.

use bytes::Bytes;
use futures::TryStreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::{Value, json};

use super::store::StoreError;

/// Reason for closing a connection without a complete response.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
pub(crate) enum ConnectionAbort {
    /// A switch requests it.
    #[display("connection closed by a switch")]
    Requested,
}

/// Body of a response; fails when the connection has to be closed.
pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionAbort>;

/// Returns a response with a JSON value.
pub(crate) fn json_response(code: StatusCode, value: &Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string())).map_err(|never| match never {});
    with_content_type(code, body.boxed_unsync())
}

/// Returns a successful response whose body is a stream of lines.
pub(crate) fn stream_response(
    lines: impl futures::Stream<Item = Result<Bytes, ConnectionAbort>> + Send + 'static,
) -> Response<Body> {
    let body = StreamBody::new(lines.map_ok(Frame::data));
    with_content_type(StatusCode::OK, body.boxed_unsync())
}

/// Returns a response with a `Status` object for a failure.
pub(crate) fn failure(code: StatusCode, reason: &str, message: &str) -> Response<Body> {
    json_response(code, &status_value(code, reason, message))
}

/// Returns a failure with a `Retry-After` of one second.
pub(crate) fn retry_later(code: StatusCode, reason: &str, message: &str) -> Response<Body> {
    let mut response = failure(code, reason, message);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Returns the response for an error of the store.
pub(crate) fn error_response(error: StoreError, object: &str) -> Response<Body> {
    match error {
        StoreError::AlreadyExists => {
            let message = format!("{object} already exists");
            failure(StatusCode::CONFLICT, "AlreadyExists", &message)
        }
        StoreError::Conflict => {
            let message = format!("{object} has been modified; read the latest version");
            failure(StatusCode::CONFLICT, "Conflict", &message)
        }
        StoreError::NotFound => {
            failure(StatusCode::NOT_FOUND, "NotFound", &format!("{object} not found"))
        }
    }
}

/// Builds a `Status` object for a failure.
pub(crate) fn status_value(code: StatusCode, reason: &str, message: &str) -> Value {
    json!({
        "apiVersion": "v1",
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": code.as_u16(),
    })
}

fn with_content_type(code: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = code;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
