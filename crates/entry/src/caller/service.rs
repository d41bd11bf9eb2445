//! Service calls of callers.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use yuccatrail_core::{
    at_most_once::{CallResponse, ClaimReply, RecordedBody},
    document::{Document, Service},
    ids::Digest,
};
use yuccatrail_rpc::messages::{ResponseForm, UpstreamCall};
use yuccatrail_runtime::http::{Body, full};

use super::{headers::CallerHeaders, problem::Problem, routes, routes::Arrival};
use crate::{
    entry::Entry,
    run::{
        RequestContext,
        attempt::Output,
        claim::{self, ClaimedCall},
        service,
    },
};

/// Response header with the body length in bytes, set if the body of the recorded response was too
/// large to store.
const BODY_OMITTED: &str = "x-body-omitted";

/// Handles a call of `/v1/services/{service}/...`.
///
/// # Errors
///
/// Returns a problem if the call is invalid or did not complete.
pub(crate) async fn request(
    entry: &Arc<Entry>,
    arrival: Arrival,
    target: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let headers = CallerHeaders::parse(request.headers())?;
    let document = routes::document(entry)?;
    routes::check_customer(&document, &headers)?;
    let (name, path) = split_target(target, request.uri().query());
    let service = find_service(&document, &name)?.clone();
    let method = request.method().to_string();
    let idempotent = service.is_idempotent(&method, &path);
    if !idempotent && headers.idempotency_key.is_none() {
        let detail = "a call that may not be repeated needs the header idempotency-key";
        return Err(Problem::bad_request(StatusCode::BAD_REQUEST, "key_required", detail));
    }
    let content_type = content_type(&request);
    let body = routes::read_body(entry, request, &document.limits, &headers.customer).await?;
    let context = RequestContext {
        id: arrival.id,
        target: name,
        fingerprint: fingerprint(&headers.customer, &method, target, body.bytes()),
        customer: headers.customer,
        deadline_ms: arrival.deadline_ms(headers.deadline_ms, service.deadline_ms),
    };
    let call = UpstreamCall {
        method,
        path,
        content_type,
        idempotency_key: headers.idempotency_key.clone(),
        body: body.bytes().clone(),
        response: ResponseForm::Whole,
    };
    if !idempotent {
        let key = headers.idempotency_key.unwrap_or_default();
        let only_copy = headers.only_copy;
        let call = ClaimedCall { document, service, request: context, key, only_copy, call };
        return run_claimed(entry, call).await;
    }
    let result = match service::stage_work(&document, &service, call) {
        Ok(work) => service::run(entry, &document, &context, &work).await,
        Err(refusal) => Err(refusal),
    };
    routes::record_outcome(entry, &context, result.as_ref().err()).await;
    Ok(forwarded_response(result.map_err(Problem::refused)?))
}

async fn run_claimed(entry: &Arc<Entry>, call: ClaimedCall) -> Result<Response<Body>, Problem> {
    let context = call.request.clone();
    let reply = claim::run(entry, call).await;
    let refusal = match reply {
        Ok(ClaimReply::Response(response)) => {
            routes::record_outcome(entry, &context, None).await;
            return Ok(recorded_response(response));
        }
        Ok(ClaimReply::KeyReused) => {
            let detail = "the idempotency key belongs to another call";
            return Err(Problem::bad_request(StatusCode::CONFLICT, "key_reused", detail));
        }
        Ok(ClaimReply::Refused(refusal)) | Err(refusal) => refusal,
    };
    routes::record_outcome(entry, &context, Some(&refusal)).await;
    Err(Problem::refused(refusal))
}

fn split_target(target: &str, query: Option<&str>) -> (String, String) {
    let (name, rest) = target.split_once('/').unwrap_or((target, ""));
    let mut path = format!("/{rest}");
    if let Some(query) = query {
        path.push('?');
        path.push_str(query);
    }
    (name.to_owned(), path)
}

fn find_service<'a>(document: &'a Document, name: &str) -> Result<&'a Service, Problem> {
    document.service(name).ok_or_else(|| {
        let detail = format!("unknown service {name}");
        Problem::bad_request(StatusCode::NOT_FOUND, "unknown_service", detail)
    })
}

fn content_type(request: &Request<Incoming>) -> Option<String> {
    Some(request.headers().get(header::CONTENT_TYPE)?.to_str().ok()?.to_owned())
}

/// Returns the digest of the customer, method, target and body, which is the same for all copies of
/// a call.
pub(crate) fn fingerprint(customer: &str, method: &str, target: &str, body: &[u8]) -> Digest {
    let mut bytes =
        Vec::with_capacity(customer.len() + method.len() + target.len() + body.len() + 3);
    for part in [customer.as_bytes(), method.as_bytes(), target.as_bytes()] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    bytes.extend_from_slice(body);
    Digest::of(&bytes)
}

fn forwarded_response(output: Output) -> Response<Body> {
    let completion = output.completion;
    respond(completion.status, completion.content_type, output.chunks.concat().into())
}

fn recorded_response(response: CallResponse) -> Response<Body> {
    match response.body {
        RecordedBody::Whole(body) => respond(response.status, response.content_type, body),
        RecordedBody::Omitted { length_bytes, .. } => {
            let mut response = respond(response.status, None, Bytes::new());
            response.headers_mut().insert(BODY_OMITTED, length_bytes.into());
            response
        }
    }
}

fn respond(status: u16, content_type: Option<String>, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(content_type) = content_type.and_then(|it| it.parse().ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}
