//! Calls of the object API.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    API_VERSION, CallBudget, CallCounts, CallKind, ClientSettings, Kind, MAX_VALUE_BYTES, Object,
    ObjectList, PlatformError, ResourceVersion, Watch,
    answer::{Answer, Exchange},
    wire::{
        DeleteOptions, Envelope, ListEnvelope, Metadata, Preconditions, collection_path,
        object_path,
    },
};

/// Time after which an idle connection is closed, in milliseconds.
const POOL_IDLE_TIMEOUT_MS: u64 = 30_000;

/// Silence after which a connection is probed, and time between two probes, in seconds.
///
/// A poll may wait for long, so a connection that went silent has to be noticed below it.
const KEEPALIVE_S: u64 = 1;

/// Probes without an answer after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 1;

/// Client of the platform's object API; clones share connections and the call budget.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: ClientSettings,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    budget: CallBudget,
}

impl Client {
    /// Creates a client; no connection is opened before the first call.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_interval(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect_timeout_ms)));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(POOL_IDLE_TIMEOUT_MS))
            .build(connector);
        let budget = CallBudget::new(settings.budget, Instant::now());
        Self { inner: Arc::new(Inner { settings, http, budget }) }
    }

    /// Returns the settings of the client.
    pub fn settings(&self) -> &ClientSettings {
        &self.inner.settings
    }

    /// Returns the numbers of calls made so far.
    pub fn counts(&self) -> CallCounts {
        self.inner.budget.counts()
    }

    /// Reads one object, or `None` if there is none of that name.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when the platform gives no answer and `Invalid` when the answer does
    /// not follow the API.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let exchange = Exchange::new(CallKind::Read, self.object_name(kind, name));
        let answer = self.call(&exchange, Method::GET, &path, Bytes::new()).await?;
        if answer.is_not_found() {
            return Ok(None);
        }
        answer.object(&exchange).map(Some)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` when the platform gives no answer and `Invalid` when the answer does
    /// not follow the API.
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: Kind,
    ) -> Result<ObjectList<T>, PlatformError> {
        let path = collection_path(&self.inner.settings.environment, kind)?;
        let exchange = Exchange::new(CallKind::Read, self.collection_name(kind));
        let answer = self.call(&exchange, Method::GET, &path, Bytes::new()).await?;
        let list: ListEnvelope<T> = answer.json(&exchange)?;
        let mut objects = Vec::with_capacity(list.items.len());
        for item in list.items {
            objects.push(item.into_object().map_err(|it| exchange.invalid(it))?);
        }
        Ok(ObjectList { resource_version: list.metadata.resource_version, objects })
    }

    /// Creates an object if there is none of that name.
    ///
    /// # Errors
    ///
    /// Returns `AlreadyExists` when there is one, `TooLarge` before anything is sent,
    /// `Unavailable` when the object was certainly not created and `AnswerLost` when it may have
    /// been.
    pub async fn create<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        spec: &T,
    ) -> Result<Object<T>, PlatformError> {
        object_path(&self.inner.settings.environment, kind, name)?;
        let path = collection_path(&self.inner.settings.environment, kind)?;
        let exchange = Exchange::new(CallKind::Write, self.object_name(kind, name));
        let body = self.encode(&exchange, kind, name, None, spec)?;
        let answer = self.call(&exchange, Method::POST, &path, body).await?;
        answer.object(&exchange)
    }

    /// Replaces the content of an object if it still has the version `from`.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` when the object has changed or is gone, `TooLarge` before anything is
    /// sent, `Unavailable` when the object was certainly not changed and `AnswerLost` when it may
    /// have been.
    pub async fn update<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
        from: &ResourceVersion,
        spec: &T,
    ) -> Result<Object<T>, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let exchange = Exchange::new(CallKind::Write, self.object_name(kind, name));
        let body = self.encode(&exchange, kind, name, Some(from.clone()), spec)?;
        let answer = self.call(&exchange, Method::PUT, &path, body).await?;
        if answer.is_not_found() {
            return Err(PlatformError::Conflict { object: exchange.object });
        }
        answer.object(&exchange)
    }

    /// Deletes an object, if it still has the version `from` when one is given.
    ///
    /// Returns whether there was an object of that name.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` when the object has another version, `Unavailable` when it was certainly
    /// not deleted and `AnswerLost` when it may have been.
    pub async fn delete(
        &self,
        kind: Kind,
        name: &str,
        from: Option<&ResourceVersion>,
    ) -> Result<bool, PlatformError> {
        let path = object_path(&self.inner.settings.environment, kind, name)?;
        let exchange = Exchange::new(CallKind::Write, self.object_name(kind, name));
        let body = match from {
            Some(resource_version) => {
                let preconditions = Preconditions { resource_version };
                let options =
                    DeleteOptions { api_version: "v1", kind: "DeleteOptions", preconditions };
                exchange.encode(&options)?
            }
            None => Bytes::new(),
        };
        let answer = self.call(&exchange, Method::DELETE, &path, body).await?;
        if answer.is_not_found() {
            return Ok(false);
        }
        answer.check(&exchange)?;
        Ok(true)
    }

    /// Opens a watch for the changes of a kind after the version `from`.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer holds the changes since `from`, and `Unavailable`
    /// when it gives no answer.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        from: &ResourceVersion,
    ) -> Result<Watch<T>, PlatformError> {
        let settings = &self.inner.settings;
        let path = collection_path(&settings.environment, kind)?;
        let query = format!(
            "watch=true&allowWatchBookmarks=true&resourceVersion={from}&timeoutSeconds={}",
            settings.watch_timeout_s
        );
        let exchange = Exchange::new(CallKind::Watch, self.collection_name(kind));
        let path = format!("{path}?{query}");
        let opened = async {
            let response = self.send(&exchange, Method::GET, &path, Bytes::new()).await?;
            if response.status() == StatusCode::OK {
                return Ok(response);
            }
            Answer::read(&exchange, response).await?.check(&exchange)?;
            Err(exchange.invalid("a watch was answered without a stream".to_owned()))
        };
        let response = self.within_timeout(&exchange, opened).await?;
        let end = Duration::from_secs(settings.watch_timeout_s)
            + Duration::from_millis(settings.request_timeout_ms);
        Ok(Watch::new(exchange, response.into_body(), end))
    }

    /// Reads a path of any wire form and returns the body of its answer.
    ///
    /// `wait_ms` is the time for which the platform may hold the answer back, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns `Gone` when the platform no longer holds the changes, and `Unavailable` when it gives
    /// no answer.
    pub async fn read(
        &self,
        call: CallKind,
        object: &str,
        path: &str,
        wait_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        let exchange = Exchange::new(call, object.to_owned());
        let whole = async {
            let response = self.send(&exchange, Method::GET, path, Bytes::new()).await?;
            Answer::read(&exchange, response).await
        };
        let limit_ms = self.inner.settings.request_timeout_ms + wait_ms;
        self.take_turn(&exchange).await?;
        let Ok(answer) = tokio::time::timeout(Duration::from_millis(limit_ms), whole).await else {
            return Err(exchange.timed_out());
        };
        let answer = answer?;
        answer.check(&exchange)?;
        Ok(answer.into_body())
    }

    /// Writes to a path of any wire form; `object` names the object in errors.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` when the object exists or has changed, `Unavailable` when the write
    /// certainly had no effect and `AnswerLost` when it may have had one.
    pub async fn write(
        &self,
        object: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(), PlatformError> {
        let exchange = Exchange::new(CallKind::Write, object.to_owned());
        let answer = self.call(&exchange, method, path, body).await?;
        answer.check(&exchange)
    }

    /// Makes one call and reads its whole answer.
    async fn call(
        &self,
        exchange: &Exchange,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, PlatformError> {
        let whole = async {
            let response = self.send(exchange, method, path, body).await?;
            Answer::read(exchange, response).await
        };
        self.within_timeout(exchange, whole).await
    }

    /// Waits for the call's turn, then for its result within the request time-out.
    async fn within_timeout<V>(
        &self,
        exchange: &Exchange,
        call: impl Future<Output = Result<V, PlatformError>>,
    ) -> Result<V, PlatformError> {
        self.take_turn(exchange).await?;
        let timeout = Duration::from_millis(self.inner.settings.request_timeout_ms);
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(exchange.timed_out()),
        }
    }

    /// Waits until the call budget allows the call.
    async fn take_turn(&self, exchange: &Exchange) -> Result<(), PlatformError> {
        let Some(wait) = self.inner.budget.reserve(exchange.call, Instant::now()) else {
            return Err(PlatformError::Unavailable {
                object: exchange.object.clone(),
                detail: format!("the call budget for {} calls is spent", exchange.call),
                retry_after_ms: Some(self.inner.settings.budget.max_wait_ms),
            });
        };
        // Even a sleep of no length may take until the timer's next tick.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    /// Sends a request and returns the head of its answer.
    async fn send(
        &self,
        exchange: &Exchange,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.inner.settings.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| exchange.invalid(error.to_string()))?;
        self.inner.http.request(request).await.map_err(|it| exchange.lost(&it))
    }

    /// Encodes an object and checks its size.
    fn encode<T: Serialize>(
        &self,
        exchange: &Exchange,
        kind: Kind,
        name: &str,
        resource_version: Option<ResourceVersion>,
        spec: &T,
    ) -> Result<Bytes, PlatformError> {
        let metadata = Metadata {
            name: name.to_owned(),
            namespace: Some(self.inner.settings.environment.clone()),
            resource_version,
        };
        let envelope = Envelope {
            api_version: API_VERSION.to_owned(),
            kind: kind.name().to_owned(),
            metadata,
            spec,
        };
        let body = exchange.encode(&envelope)?;
        if body.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge {
                object: exchange.object.clone(),
                size_bytes: body.len(),
                limit_bytes: MAX_VALUE_BYTES,
            });
        }
        Ok(body)
    }

    /// Names a collection in errors.
    fn collection_name(&self, kind: Kind) -> String {
        format!("{}/{}", self.inner.settings.environment, kind.plural())
    }

    /// Names an object in errors.
    fn object_name(&self, kind: Kind, name: &str) -> String {
        format!("{}/{name}", self.collection_name(kind))
    }
}
