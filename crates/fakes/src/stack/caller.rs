//! HTTP client for tests and demonstrations.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{HeaderMap, Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// The HTTP exchange failed or its response could not be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{detail}")]
pub struct CallerError {
    /// Description of the failure.
    pub detail: String,
}

/// Response that was received to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// JSON body; null when the body is not JSON.
    pub body: Value,
}

/// Response to a pipeline request that was sent as a stream of events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamedResponse {
    /// Concatenated texts of the `text` events.
    pub text: String,
    /// Data of the `done` event, if the stream had one.
    pub done: Option<Value>,
    /// Data of the `problem` event, or the problem document that was sent instead of a stream.
    pub problem: Option<Value>,
}

/// Sends requests to entries and stand-ins on behalf of one customer.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    customer: String,
}

impl Caller {
    /// Creates a caller for a customer.
    pub fn new(customer: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, customer: customer.to_owned() }
    }

    /// Requests a pipeline and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn pipeline(
        &self,
        entry: SocketAddr,
        name: &str,
        input: &str,
    ) -> Result<ReceivedResponse, CallerError> {
        let body = json!({ "input": input }).to_string();
        self.send(entry, "POST", &format!("/v1/pipelines/{name}"), &[], body).await
    }

    /// Requests a pipeline as a stream of events.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn pipeline_stream(
        &self,
        entry: SocketAddr,
        name: &str,
        input: &str,
    ) -> Result<StreamedResponse, CallerError> {
        self.pipeline_stream_observed(entry, name, input, |_| {}).await
    }

    /// Requests a pipeline as a stream of events and passes each text to `on_text` as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn pipeline_stream_observed(
        &self,
        entry: SocketAddr,
        name: &str,
        input: &str,
        on_text: impl FnMut(&str),
    ) -> Result<StreamedResponse, CallerError> {
        let body = json!({ "input": input }).to_string();
        let path = format!("/v1/pipelines/{name}");
        let response = self
            .send_for_head(entry, "POST", &path, &[("accept", "text/event-stream")], body)
            .await?;
        if !response.status().is_success() {
            let received = read_response(response).await?;
            return Ok(StreamedResponse {
                problem: Some(received.body),
                ..StreamedResponse::default()
            });
        }
        read_stream(response, on_text).await
    }

    /// Sends a non-idempotent service call with an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn notice(
        &self,
        entry: SocketAddr,
        key: &str,
        headers: &[(&str, &str)],
    ) -> Result<ReceivedResponse, CallerError> {
        let mut headers = headers.to_vec();
        headers.push(("idempotency-key", key));
        let path = "/v1/services/work-orders/notices";
        self.send(entry, "POST", path, &headers, json!({ "notice": key }).to_string()).await
    }

    /// Sends an idempotent service call.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn search(
        &self,
        entry: SocketAddr,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<ReceivedResponse, CallerError> {
        let path = "/v1/services/work-orders/search";
        self.send(entry, "POST", path, headers, body.to_owned()).await
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP exchange fails.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ReceivedResponse, CallerError> {
        let response = self.send_for_head(address, method, path, headers, body).await?;
        read_response(response).await
    }

    /// Sends a request and returns the response once its head has arrived, with the body unread.
    pub(crate) async fn send_for_head(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, CallerError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("x-customer", &self.customer)
            .header("content-type", "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into())).map_err(caller_error)?;
        self.client.request(request).await.map_err(caller_error)
    }
}

async fn read_response(response: Response<Incoming>) -> Result<ReceivedResponse, CallerError> {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let bytes = response.into_body().collect().await.map_err(caller_error)?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok(ReceivedResponse { status, headers, body })
}

async fn read_stream(
    response: Response<Incoming>,
    mut on_text: impl FnMut(&str),
) -> Result<StreamedResponse, CallerError> {
    let chunks = BodyStream::new(response.into_body())
        .filter_map(|frame| async move { frame.map(|it| it.into_data().ok()).transpose() });
    let mut events = std::pin::pin!(chunks.eventsource());
    let mut streamed = StreamedResponse::default();
    while let Some(event) = events.next().await {
        let event = event.map_err(caller_error)?;
        let data: Value = serde_json::from_str(&event.data).map_err(caller_error)?;
        match event.event.as_str() {
            "text" => {
                let text = data["text"].as_str().unwrap_or_default();
                on_text(text);
                streamed.text.push_str(text);
            }
            "done" => streamed.done = Some(data),
            "problem" => streamed.problem = Some(data),
            _ => {}
        }
    }
    Ok(streamed)
}

fn caller_error(error: impl std::fmt::Display) -> CallerError {
    CallerError { detail: error.to_string() }
}
