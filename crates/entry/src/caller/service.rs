//! Plain service calls of callers.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming, header};
use yuccatrail_core::{
    document::{Document, Service},
    ids::{Digest, RequestId},
};
use yuccatrail_rpc::messages::{ResponseForm, UpstreamCall};
use yuccatrail_runtime::http::{Body, full};

use super::{head::CallerHead, problem::Problem, routes};
use crate::{
    entry::Entry,
    run::{RequestContext, attempt::Output, service},
};

/// Answers a call of `POST or GET /v1/services/{service}/...`.
///
/// # Errors
///
/// Returns a problem when the call is wrong or was not completed.
pub(crate) async fn request(
    entry: &Arc<Entry>,
    id: RequestId,
    target: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let arrived_ms = entry.clock.now_ms();
    let head = CallerHead::parse(request.headers())?;
    let document = routes::document(entry)?;
    routes::check_customer(&document, &head)?;
    let (name, path) = split_target(target, request.uri().query());
    let service = find(&document, &name)?;
    let method = request.method().to_string();
    let idempotent = service.is_idempotent(&method, &path);
    if !idempotent && head.idempotency_key.is_none() {
        let detail = "a call that may not be repeated needs the header idempotency-key";
        return Err(Problem::bad_request(StatusCode::BAD_REQUEST, "key_required", detail));
    }
    let content_type = content_type(&request);
    let body = routes::read_body(request, &document.limits).await?;
    let context = RequestContext {
        id,
        fingerprint: fingerprint(&head.customer, &method, target, &body),
        customer: head.customer,
        idempotency_key: head.idempotency_key.clone(),
        deadline_ms: arrived_ms + routes::allowed_ms(head.deadline_ms, service.deadline_ms),
    };
    let call = UpstreamCall {
        method,
        path,
        content_type,
        idempotency_key: head.idempotency_key,
        body,
        response: ResponseForm::Whole,
    };
    match service::run(entry, &document, service, &context, idempotent, call).await {
        Ok(output) => Ok(pass_through(output)),
        Err(refusal) => Err(Problem::refused(refusal)),
    }
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
    let mut response = Response::new(full(output.chunks.concat()));
    *response.status_mut() =
        StatusCode::from_u16(output.completion.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = output.completion.content_type.and_then(|it| it.parse().ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}
