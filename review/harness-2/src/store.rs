//! Stand-in of the platform's metadata store: lists, watches and writes, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::http::{Connection, Message, response};

/// Objects on one page of a list, as in the site files (`discovery`, page).
const PAGE_SIZE: usize = 50;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Kind, revision and event of each change.
    history: Vec<(String, u64, Value)>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    calls: Arc<AtomicU64>,
}

impl Store {
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (changed, _) = watch::channel(0);
        let store = Self { address, state: Arc::default(), changed, calls: Arc::default() };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_request().await {
                        store.calls.fetch_add(1, Ordering::Relaxed);
                        let (status, body) = store.answer(&request).await;
                        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                        let bytes = response(status, &headers, &body.to_string());
                        if connection.write(&bytes).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, specification: Value) {
        self.state.lock().unwrap().put(kind, name, Some(specification), None);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.send_modify(|it| *it += 1);
    }

    async fn answer(&self, request: &Message) -> (u16, Value) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let mut segments = path.trim_start_matches("/-/objects/").split('/');
        let kind = segments.next().unwrap_or_default().to_owned();
        let name = segments.next().map(str::to_owned);
        let is_status = segments.next() == Some("status");
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|(name, _)| *name == wanted).map(|(_, value)| decode(value))
        };
        if request.method() == "GET" {
            if let Some(name) = name {
                let state = self.state.lock().unwrap();
                return match state.objects.get(&(kind, name)) {
                    Some(object) => (200, object.clone()),
                    None => (404, json!({})),
                };
            }
            let Some(from) = parameter("watch").and_then(|it| it.parse().ok()) else {
                return (200, self.state.lock().unwrap().list(&kind, parameter("after")));
            };
            let wait_ms = parameter("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
            return self.watch(&kind, from, wait_ms).await;
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let answer =
            self.state.lock().unwrap().write(request.method(), &kind, name, is_status, &body);
        self.changed.send_modify(|it| *it += 1);
        answer
    }

    async fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            {
                let state = self.state.lock().unwrap();
                if from > state.revision {
                    return (410, json!({}));
                }
                let is_new = |it: &&(String, u64, Value)| it.0 == kind && it.1 > from;
                let events: Vec<Value> =
                    state.history.iter().filter(is_new).map(|it| it.2.clone()).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return (200, json!({ "events": events, "currentRev": state.revision }));
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, specification: Option<Value>, status: Option<Value>) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let mut object = self.objects.get(&key).cloned().unwrap_or_else(|| {
            json!({ "metadata": { "name": name, "created": self.revision }, "specification": {} })
        });
        object["metadata"]["revision"] = json!(self.revision);
        if let Some(specification) = specification {
            object["specification"] = specification;
        }
        if let Some(status) = status {
            object["status"] = status;
        }
        let event = json!({ "tombstone": false, "object": object });
        self.objects.insert(key, object);
        self.history.push((kind.to_owned(), self.revision, event));
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else { return false };
        self.revision += 1;
        object["metadata"]["revision"] = json!(self.revision);
        let event = json!({ "tombstone": true, "object": object });
        self.history.push((kind.to_owned(), self.revision, event));
        true
    }

    fn list(&self, kind: &str, after: Option<String>) -> Value {
        let of_kind = self.objects.iter().filter(|((it, _), _)| it == kind);
        let after = after.unwrap_or_default();
        let mut items: Vec<&Value> =
            of_kind.filter(|((_, name), _)| *name > after).map(|(_, it)| it).collect();
        let truncated = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        json!({ "items": items, "truncated": truncated, "currentRev": self.revision })
    }

    fn write(
        &mut self,
        method: &str,
        kind: &str,
        name: Option<String>,
        is_status: bool,
        body: &Value,
    ) -> (u16, Value) {
        let name = name.or_else(|| body["metadata"]["name"].as_str().map(str::to_owned));
        let Some(name) = name else { return (400, json!({})) };
        let existing = self.objects.get(&(kind.to_owned(), name.clone())).cloned();
        if method == "POST" {
            if let Some(existing) = existing {
                return (409, existing);
            }
            self.put(kind, &name, Some(body["specification"].clone()), None);
            return (200, self.objects[&(kind.to_owned(), name)].clone());
        }
        let Some(existing) = existing else { return (404, json!({})) };
        let wanted = &body["metadata"]["revision"];
        if wanted.is_u64() && *wanted != existing["metadata"]["revision"] {
            return (409, existing);
        }
        match method {
            "PUT" if is_status => self.put(kind, &name, None, Some(body["status"].clone())),
            "PUT" => self.put(kind, &name, Some(body["specification"].clone()), None),
            "DELETE" => {
                self.remove(kind, &name);
                return (200, existing);
            }
            _ => return (400, json!({})),
        }
        (200, self.objects[&(kind.to_owned(), name)].clone())
    }
}

/// Decodes the percent-encoding of a query.
fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let coded = after.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        match coded.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
