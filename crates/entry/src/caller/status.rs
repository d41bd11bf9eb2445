//! Readiness check, metrics and status page of the entry.

use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use yuccatrail_runtime::http::{Body, METRICS_CONTENT_TYPE, respond};

use crate::{entry::Entry, fleet::MemberStatus};

/// Responds to the readiness check of the platform's load balancer.
///
/// The entry is ready once it has a configuration and an instance list.
pub(crate) fn ready(entry: &Entry) -> Response<Body> {
    match entry.document() {
        Ok(_) if !entry.fleet.has_list() => {
            respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no instance list\n")
        }
        Ok(_) => respond(StatusCode::OK, "text/plain", "ready\n"),
        Err(reason) => {
            respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{reason}\n"))
        }
    }
}

/// Responds with all metrics as OpenMetrics text.
pub(crate) fn metrics(entry: &Entry) -> Response<Body> {
    match entry.metrics.encode() {
        Some(body) => respond(StatusCode::OK, METRICS_CONTENT_TYPE, body),
        None => respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "metrics failed\n"),
    }
}

/// Responds with the versions in force and the state of each upstream as the entry sees it.
pub(crate) fn status(entry: &Entry) -> Response<Body> {
    let mut upstreams = Vec::new();
    for member in entry.fleet.status() {
        upstreams.push(upstream(&member));
    }
    let ages = entry.control.ages(entry.clock.now_ms());
    let body = json!({
        "name": entry.name,
        "data_centre": entry.data_centre,
        "incarnation": entry.incarnation.to_string(),
        "ready": entry.document().is_ok(),
        "versions": entry.versions(),
        "config_age_ms": ages.config_ms,
        "operations_age_ms": ages.operations_ms,
        "peers": entry.fleet.entries().len(),
        "in_progress": entry.in_progress(),
        "upstreams": upstreams,
    });
    respond(StatusCode::OK, "application/json", body.to_string())
}

fn upstream(member: &MemberStatus) -> Value {
    let link = &member.link;
    let report = link.report();
    json!({
        "name": link.name,
        "pool": link.pool,
        "data_centre": link.data_centre,
        "connected": report.is_some(),
        "refusal": member.refusal,
        "load": report.as_ref().map(|it| it.feedback.load),
        "versions": report.as_ref().map(|it| it.feedback.versions),
    })
}
