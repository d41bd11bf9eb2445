//! State of the entry for operators, health checks and scripts.

use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use yuccatrail_runtime::http::{Body, respond};

use crate::{entry::Entry, link::Link};

/// Answers the readiness check of the platform's balancer.
pub(crate) fn ready(entry: &Entry) -> Response<Body> {
    if entry.document().is_err() {
        return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no configuration\n");
    }
    respond(StatusCode::OK, "text/plain", "ready\n")
}

/// Answers with the entry's view of the fleet.
pub(crate) fn status(entry: &Entry) -> Response<Body> {
    let mut upstreams = Vec::new();
    for link in entry.fleet.all() {
        upstreams.push(upstream(&link));
    }
    let body = json!({
        "name": entry.name,
        "data_centre": entry.data_centre,
        "incarnation": entry.incarnation.to_string(),
        "versions": entry.versions(),
        "upstreams": upstreams,
    });
    respond(StatusCode::OK, "application/json", body.to_string())
}

fn upstream(link: &Link) -> Value {
    let report = link.report();
    json!({
        "name": link.instance.name,
        "pool": link.instance.pool,
        "data_centre": link.instance.data_centre,
        "state": link.instance.state,
        "connected": report.is_some(),
        "load": report.as_ref().map(|it| it.feedback.load),
        "versions": report.as_ref().map(|it| it.feedback.versions),
    })
}
