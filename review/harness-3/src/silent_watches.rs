//! Some of the relays' open connections to the store go silent, while new ones work; then a key is revoked.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::Instant,
};

use crate::{
    http::{Connection, encode},
    stack::{Record, Relay, configuration, exchange, route, server_record, service},
    store::Store,
};

/// Time after which machines count as in touch again, in seconds, and a second more.
const IN_TOUCH_S: u64 = 4;
/// Time within which a version has to be in force after its acknowledgement.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which callers send requests after that, in seconds.
const AFTER_S: u64 = 12;
const REQUEST_INTERVAL_MS: u64 = 15;
/// Kinds whose watches go silent: two of a relay's five connections to the store.
const SILENT_KINDS: [&str; 2] = ["config", "servers"];
/// Keys that callers use in turn; the second one is revoked.
const KEYS: [&str; 2] = ["key-north", "key-spare"];

/// A proxy between a relay and the store.
#[derive(Clone)]
struct Proxy {
    store: SocketAddr,
    record: Record,
    /// Open connections by number, each with the path that was asked for last.
    open: Arc<Mutex<BTreeMap<u64, String>>>,
    /// Numbers of the connections that are silent.
    silent: Arc<watch::Sender<Vec<u64>>>,
    next: Arc<AtomicU64>,
}

impl Proxy {
    async fn start(store: SocketAddr, record: &Record) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Self {
            store,
            record: record.clone(),
            open: Arc::default(),
            silent: Arc::new(watch::channel(Vec::new()).0),
            next: Arc::default(),
        };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        Ok((proxy, address))
    }

    async fn serve(self, mut near: TcpStream) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let Ok(mut far) = TcpStream::connect(self.store).await else { return };
        let mut silent = self.silent.subscribe();
        let (mut up, mut down) = ([0; 16_384], [0; 16_384]);
        self.open.lock().unwrap().insert(number, String::new());
        loop {
            let is_done = tokio::select! {
                biased;
                true = async { silent.wait_for(|it| it.contains(&number)).await.is_ok() } => {
                    // Open, and nothing passes any more.
                    let mut byte = [0];
                    while near.read(&mut byte).await.is_ok_and(|it| it > 0) {}
                    true
                }
                read = near.read(&mut up) => match read {
                    Ok(bytes) if bytes > 0 => {
                        let text = String::from_utf8_lossy(&up[..bytes]).into_owned();
                        if let Some(path) = text.split(' ').nth(1).filter(|it| it.starts_with('/')) {
                            self.open.lock().unwrap().insert(number, path.to_owned());
                        }
                        far.write_all(&up[..bytes]).await.is_err()
                    }
                    _ => true,
                },
                read = far.read(&mut down) => match read {
                    Ok(bytes) if bytes > 0 => near.write_all(&down[..bytes]).await.is_err(),
                    _ => true,
                },
            };
            if is_done {
                break;
            }
        }
        self.open.lock().unwrap().remove(&number);
    }

    fn silence(&self) {
        let open = self.open.lock().unwrap();
        let is_chosen = |path: &str| {
            SILENT_KINDS.iter().any(|it| path.starts_with(&format!("/-/objects/{it}?watch=")))
        };
        let chosen: Vec<u64> = open.iter().filter(|it| is_chosen(it.1)).map(|it| *it.0).collect();
        self.record.add(format!("{} of {} connections go silent", chosen.len(), open.len()));
        for (number, path) in open.iter() {
            let state = if chosen.contains(number) { "silent" } else { "open" };
            self.record.add(format!("  connection {number}: {path}, {state}"));
        }
        drop(open);
        self.silent.send_replace(chosen);
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    record: Record,
    /// Identifiers of the requests that have run.
    ran: Arc<Mutex<Vec<String>>>,
}

impl Server {
    async fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read().await {
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|it| it != self.id) {
                let answer = encode("HTTP/1.1 421 Misdirected", &[("X-Not-Executed", "1")], b"");
                let _ = connection.write(&answer).await;
                continue;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if !id.is_empty() {
                self.record.add(format!("{}: runs {id}", self.id));
                self.ran.lock().unwrap().push(id.clone());
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
            let seal = format!("s.{id}");
            let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", seal.as_str())];
            if connection.write(&encode("HTTP/1.1 200 OK", &headers, b"done")).await.is_err() {
                return;
            }
        }
    }
}

pub async fn run(record: &Record, logs: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start().await?;
    let zones = ["zone-a", "zone-b", "zone-c"];
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    for (index, zone) in zones.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Server {
            id: format!("i-workorders{index}"),
            record: record.clone(),
            ran: ran.clone(),
        };
        store.put("servers", &server.id, server_record("workorders", address, zone, 6));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
    }
    let routes = vec![route("order", "unsafe", "workorders")];
    let mut version = configuration(routes, vec![service("workorders")]);
    version["tenants"] = json!([{ "name": "north", "apiKeys": KEYS }]);
    store.put("config", "main", version.clone());
    let mut relays = Vec::new();
    let mut proxies = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let (proxy, address) = Proxy::start(store.address, record).await?;
        let name = format!("front-{zone}-1");
        let log = logs.join(format!("relay-{index}.log"));
        relays.push(Relay::start(&name, zone, address, &log).await?);
        proxies.push(proxy);
    }
    for relay in &relays {
        relay.wait_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let addresses: Vec<SocketAddr> = relays.iter().map(|it| it.address).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent_at: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let (callers_sent, callers_over, callers_record) =
        (sent_at.clone(), is_over.clone(), record.clone());
    let calling = tokio::spawn(async move {
        let mut callers = JoinSet::new();
        let (mut number, mut served) = (0_u64, 0_u64);
        while !callers_over.load(Ordering::Relaxed) {
            let index = number as usize % addresses.len();
            let key = number as usize / addresses.len() % KEYS.len();
            let id = format!("{index}{key}{:014x}", number);
            number += 1;
            callers_sent.lock().unwrap().insert(id.clone(), Instant::now());
            let (address, record) = (addresses[index], callers_record.clone());
            callers.spawn(async move {
                let headers = [
                    ("Host", "desk.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Remaining", "2500"),
                    ("Api-Key", KEYS[key]),
                ];
                let request = encode("POST /order/1 HTTP/1.1", &headers, b"{}");
                let status = exchange(address, &request).await.map_or(0, |it| it.status());
                record.add(format!("caller: {id} ({}) got {status}", KEYS[key]));
                status == 200
            });
            tokio::time::sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
        }
        while let Some(is_served) = callers.join_next().await {
            served += u64::from(is_served.unwrap_or(false));
        }
        (number, served)
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    if has_trouble {
        for proxy in &proxies {
            proxy.silence();
        }
    }
    tokio::time::sleep(Duration::from_secs(IN_TOUCH_S)).await;
    version["version"] = json!(9);
    version["tenants"] = json!([{ "name": "north", "apiKeys": [KEYS[0]] }]);
    store.put("config", "main", version);
    let acknowledged = Instant::now();
    record.add(format!("version 9 without {} is acknowledged by the store", KEYS[1]));
    tokio::time::sleep(Duration::from_secs(AFTER_S)).await;
    is_over.store(true, Ordering::Relaxed);
    let (sent, served) = calling.await.map_err(io::Error::other)?;
    let mut late = 0;
    let sent_at = sent_at.lock().unwrap();
    for id in ran.lock().unwrap().iter().filter(|it| it[1..].starts_with('1')) {
        let Some(at) = sent_at.get(id) else { continue };
        if *at > acknowledged + CONFIG_APPLY {
            late += 1;
            let ms = at.duration_since(acknowledged).as_millis();
            record.add(format!("BROKEN {id}, sent {ms} ms after that, has run with {}", KEYS[1]));
        }
    }
    record.add(format!(
        "RESULT sent {sent}, served {served}, sent later than the bound and run with a revoked key {late}"
    ));
    for relay in relays {
        relay.close().await;
    }
    if served * 10 < sent * 5 {
        return Err(io::Error::other("the system did not serve the callers"));
    }
    Ok(late > 0)
}
