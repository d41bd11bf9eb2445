//! Stand-in of the platform's store.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use crate::http::{Connection, Message, encode};

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Kind, revision and event.
    events: Vec<(String, u64, Value)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    pub address: SocketAddr,
}

impl Store {
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State { revision: 10, ..State::default() };
        let store = Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(0).0),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        Ok(store)
    }

    async fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read().await {
            let (status, body) = self.handle(&request).await;
            let start = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let response = encode(&start, &headers, body.to_string().as_bytes());
            if connection.write(&response).await.is_err() {
                return;
            }
        }
    }

    /// Creates or replaces an object, as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, specification: Value) {
        let mut state = self.state.lock().unwrap();
        let status = json!({});
        state.store(kind, name, json!({ "specification": specification, "status": status }));
        drop(state);
        self.changed.send_modify(|it| *it += 1);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.send_modify(|it| *it += 1);
    }

    async fn handle(&self, request: &Message) -> (u16, Value) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, json!({})) };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(json!({}));
        match (request.method(), name) {
            ("GET", None) => match query.get("watch").and_then(|it| it.parse::<u64>().ok()) {
                Some(from) => {
                    let wait_ms = query.get("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
                    self.watch(&kind, from, wait_ms).await
                }
                None => {
                    let state = self.state.lock().unwrap();
                    let items = state.objects.iter().filter(|(key, _)| key.0 == kind);
                    let items: Vec<&Value> = items.map(|it| it.1).collect();
                    let revision = state.revision;
                    (200, json!({ "items": items, "truncated": false, "currentRev": revision }))
                }
            },
            ("GET", Some(name)) => match self.state.lock().unwrap().objects.get(&(kind, name)) {
                Some(object) => (200, object.clone()),
                None => (404, json!({})),
            },
            ("POST", None) => {
                let name = body["metadata"]["name"].as_str().unwrap_or("").to_owned();
                self.write(&kind, &name, &body, true)
            }
            ("PUT", Some(name)) => self.write(&kind, &name, &body, false),
            ("DELETE", Some(name)) => {
                let is_removed = self.state.lock().unwrap().remove(&kind, &name);
                self.changed.send_modify(|it| *it += 1);
                (if is_removed { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, is_new: bool) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if let Some(known) = &known {
            let expected = body["metadata"]["revision"].as_u64();
            let is_changed = expected.is_some_and(|it| Some(it) != known["metadata"]["revision"].as_u64());
            if is_new || is_changed {
                return (409, known.clone());
            }
        } else if !is_new {
            return (404, json!({}));
        }
        let specification = body["specification"].clone();
        let object =
            state.store(kind, name, json!({ "specification": specification, "status": {} }));
        drop(state);
        self.changed.send_modify(|it| *it += 1);
        (200, object)
    }

    async fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            {
                let state = self.state.lock().unwrap();
                let events = state.events.iter().filter(|it| it.0 == kind && it.1 > from);
                let events: Vec<&Value> = events.map(|it| &it.2).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return (200, json!({ "events": events, "currentRev": state.revision }));
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

impl State {
    fn store(&mut self, kind: &str, name: &str, mut object: Value) -> Value {
        self.revision += 1;
        let revision = self.revision;
        object["metadata"] = json!({
            "name": name, "revision": revision, "created": revision, "finalizers": [],
            "deleting": false,
        });
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = json!({ "object": object, "tombstone": false });
        self.events.push((kind.to_owned(), revision, event));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = json!({ "object": object, "tombstone": true });
        self.events.push((kind.to_owned(), self.revision, event));
        true
    }
}
