//! Admin API: sets switches, reads counters and compacts the history.

use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use super::{
    PlatformSwitches,
    server::Shared,
    status::{Body, failure, json_response},
};

/// Prefix of the paths of the admin API; faults do not affect these.
pub(crate) const PREFIX: &str = "/fake/";

/// Handles a request to the admin API.
pub(crate) async fn handle(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/fake/counters") => {
            json_response(StatusCode::OK, &json!(shared.state().counters))
        }
        (Method::GET, "/fake/switches") => {
            json_response(StatusCode::OK, &json!(*shared.switches.borrow()))
        }
        (Method::PUT, "/fake/switches") => set_switches(shared, request).await,
        (Method::POST, "/fake/compact") => {
            shared.state().store.compact();
            json_response(StatusCode::OK, &json!({}))
        }
        _ => failure(StatusCode::NOT_FOUND, "NotFound", "unknown admin path"),
    }
}

async fn set_switches(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return failure(StatusCode::BAD_REQUEST, "BadRequest", &error.to_string());
        }
    };
    match serde_json::from_slice::<PlatformSwitches>(&body) {
        Ok(switches) => {
            shared.switches.send_replace(switches.clone());
            json_response(StatusCode::OK, &json!(switches))
        }
        Err(error) => failure(StatusCode::BAD_REQUEST, "BadRequest", &error.to_string()),
    }
}
