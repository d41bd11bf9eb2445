//! Stand-in of the platform's metadata store: objects, lists, long polls and writes.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Request, listen, read_request, response};

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Kind, revision and event of each change.
    history: Vec<(String, u64, Value)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new((Mutex::new(Objects::default()), Condvar::new()));
        let serving = shared.clone();
        let address = listen(move |stream| serve(stream, &serving))?;
        Ok(Self { address, shared })
    }

    /// Creates or replaces an object, as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, specification: Value) {
        let (objects, changed) = &*self.shared;
        objects.lock().unwrap().put(kind, name, specification);
        changed.notify_all();
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, specification: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(known) = known.filter(|it| it["specification"] == specification) {
            return known.clone();
        }
        self.revision += 1;
        let created = known.map_or(json!(self.revision), |it| it["metadata"]["created"].clone());
        let object = json!({
            "metadata": {
                "name": name, "revision": self.revision, "created": created,
                "finalizers": [], "deleting": false,
            },
            "specification": specification,
            "status": null,
        });
        self.objects.insert(key, object.clone());
        let event = json!({ "tombstone": false, "object": object });
        self.history.push((kind.to_owned(), self.revision, event));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = json!({ "tombstone": true, "object": object });
        self.history.push((kind.to_owned(), self.revision, event));
        true
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<Objects>, Condvar)) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = answer(&request, shared);
        let body = body.to_string();
        let headers = [("content-type", "application/json")];
        writer.write_all(&response(status, &headers, body.as_bytes()))?;
    }
}

fn answer(request: &Request, shared: &(Mutex<Objects>, Condvar)) -> (u16, Value) {
    let (objects, changed) = shared;
    let path = request.path().trim_start_matches("/-/objects/").to_owned();
    let mut segments = path.split('/');
    let kind = segments.next().unwrap_or_default();
    let name = segments.next();
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match (request.method.as_str(), name) {
        ("GET", Some(name)) => {
            let objects = objects.lock().unwrap();
            let object = objects.objects.get(&(kind.to_owned(), name.to_owned()));
            object.map_or((404, json!({})), |it| (200, it.clone()))
        }
        ("GET", None) => {
            let Some(from) = request.parameter("watch").and_then(|it| it.parse::<u64>().ok())
            else {
                let objects = objects.lock().unwrap();
                let of_kind = objects.objects.iter().filter(|it| it.0.0 == kind);
                let items: Vec<&Value> = of_kind.map(|it| it.1).collect();
                return (
                    200,
                    json!({ "items": items, "truncated": false, "currentRev": objects.revision }),
                );
            };
            let wait_ms = request.parameter("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let mut objects = objects.lock().unwrap();
            loop {
                let is_new = |it: &&(String, u64, Value)| it.0 == kind && it.1 > from;
                let events: Vec<&Value> =
                    objects.history.iter().filter(is_new).map(|it| &it.2).collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return (200, json!({ "events": events, "currentRev": objects.revision }));
                }
                objects = changed.wait_timeout(objects, left).unwrap().0;
            }
        }
        ("POST", None) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
            let mut objects = objects.lock().unwrap();
            if let Some(known) = objects.objects.get(&(kind.to_owned(), name.clone())) {
                return (409, known.clone());
            }
            let object = objects.put(kind, &name, body["specification"].clone());
            changed.notify_all();
            (200, object)
        }
        ("PUT", Some(name)) => {
            let mut objects = objects.lock().unwrap();
            let object = objects.put(kind, name, body["specification"].clone());
            changed.notify_all();
            (200, object)
        }
        ("DELETE", Some(name)) => {
            let was_there = objects.lock().unwrap().remove(kind, name);
            changed.notify_all();
            (if was_there { 200 } else { 404 }, json!({}))
        }
        _ => (400, json!({})),
    }
}
