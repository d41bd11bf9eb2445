//! Plain service calls of callers.

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

use super::{head::CallerHead, problem::Problem, routes, routes::Arrival};
use crate::{
    entry::Entry,
    run::{
        RequestContext,
        attempt::Output,
        claim::{self, ClaimedCall},
        service,
    },
};

/// Header of an answer that was recorded for an earlier copy or whose body was too large to keep.
const BODY_OMITTED: &str = "x-body-omitted";

/// Answers a call of `POST or GET /v1/services/{service}/...`.
///
/// # Errors
///
/// Returns a problem when the call is wrong or was not completed.
pub(crate) async fn request(
    entry: &Arc<Entry>,
    arrival: Arrival,
    target: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let head = CallerHead::parse(request.headers())?;
    let document = routes::document(entry)?;
    routes::check_customer(&document, &head)?;
    let (name, path) = split_target(target, request.uri().query());
    let service = find(&document, &name)?.clone();
    let method = request.method().to_string();
    let idempotent = service.is_idempotent(&method, &path);
    if !idempotent && head.idempotency_key.is_none() {
        let detail = "a call that may not be repeated needs the header idempotency-key";
        return Err(Problem::bad_request(StatusCode::BAD_REQUEST, "key_required", detail));
    }
    let content_type = content_type(&request);
    let body = routes::read_body(request, &document.limits).await?;
    let context = RequestContext {
        id: arrival.id,
        target: name,
        fingerprint: fingerprint(&head.customer, &method, target, &body),
        customer: head.customer,
        deadline_ms: arrival.deadline_ms(head.deadline_ms, service.deadline_ms),
    };
    let call = UpstreamCall {
        method,
        path,
        content_type,
        idempotency_key: head.idempotency_key.clone(),
        body,
        response: ResponseForm::Whole,
    };
    if !idempotent {
        let key = head.idempotency_key.unwrap_or_default();
        let only_copy = head.only_copy;
        let call = ClaimedCall { document, service, request: context, key, only_copy, call };
        return claimed(entry, call).await;
    }
    let result = match service::work(&document, &service, call) {
        Ok(work) => service::run(entry, &document, &context, &work).await,
        Err(refusal) => Err(refusal),
    };
    routes::count(entry, &context, result.as_ref().err());
    Ok(pass_through(result.map_err(Problem::refused)?))
}

async fn claimed(entry: &Arc<Entry>, call: ClaimedCall) -> Result<Response<Body>, Problem> {
    let context = call.request.clone();
    let reply = claim::run(entry, call).await;
    let refusal = match reply {
        Ok(ClaimReply::Response(answer)) => {
            routes::count(entry, &context, None);
            return Ok(recorded(answer));
        }
        Ok(ClaimReply::KeyReused) => {
            let detail = "the idempotency key belongs to another call";
            return Err(Problem::bad_request(StatusCode::CONFLICT, "key_reused", detail));
        }
        Ok(ClaimReply::Refused(refusal)) | Err(refusal) => refusal,
    };
    routes::count(entry, &context, Some(&refusal));
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

fn find<'a>(document: &'a Document, name: &str) -> Result<&'a Service, Problem> {
    document.service(name).ok_or_else(|| {
        let detail = format!("unknown service {name}");
        Problem::bad_request(StatusCode::NOT_FOUND, "unknown_service", detail)
    })
}

fn content_type(request: &Request<Incoming>) -> Option<String> {
    Some(request.headers().get(header::CONTENT_TYPE)?.to_str().ok()?.to_owned())
}

/// Digests what makes two calls the same call.
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

fn pass_through(output: Output) -> Response<Body> {
    let completion = output.completion;
    respond(completion.status, completion.content_type, output.chunks.concat().into())
}

fn recorded(answer: CallResponse) -> Response<Body> {
    match answer.body {
        RecordedBody::Whole(body) => respond(answer.status, answer.content_type, body),
        RecordedBody::Omitted { length_bytes, .. } => {
            let mut response = respond(answer.status, None, Bytes::new());
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
