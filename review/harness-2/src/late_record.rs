//! An engine that starts again under its id and leaves, while a record that its former run has written
//! reaches the store late.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    Run,
    http::{Connection, Message, request, response},
    relay::{Bounds, Relay},
    store::Store,
    world::World,
};

const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];
/// Engine that crashes, starts again and leaves.
const LEAVING: &str = "i-0";
const BEAT_MS: u64 = 1_200;
const DRAIN_MS: u64 = 2_000;
/// Times of the events, in milliseconds after the start of the traffic.
const CRASH_MS: u64 = 3_000;
const RESTART_MS: u64 = 4_500;
const DRAINING_MS: u64 = 6_500;
/// The last record of the former run, sent right before the crash, is executed within the 6 s that the
/// bench gives to late writes.
const LATE_WRITE_MS: u64 = 8_950;
/// The engine goes on for `drainTimeoutMs` and a little longer.
const EXIT_MS: u64 = 9_700;
const END_MS: u64 = 13_000;
/// Requests a second for the service, as on the sheet: 13.1 unsafe ones and 5.23 safe ones.
const PER_S: f64 = 18.3;
const WORK_MS: u64 = 30;

#[derive(Debug, Default)]
struct Engine {
    address: Option<SocketAddr>,
    born: u64,
    sequence: u64,
    is_draining: bool,
    is_up: bool,
    /// Time of the last record, in milliseconds.
    beat_ms: u64,
}

struct Shared {
    world: Arc<World>,
    store: Store,
    leaving: Mutex<Engine>,
    /// Time at which the store has acknowledged that the engine drains.
    drained_ms: Mutex<Option<u64>>,
    /// Time at which each request was sent.
    sent_ms: Mutex<std::collections::BTreeMap<String, u64>>,
}

fn record(address: SocketAddr, zone: &str, born: u64, sequence: u64, state: &str) -> Value {
    json!({
        "service": "workorders", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 6, "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": born,
    })
}

impl Shared {
    /// Writes the record of the engine that leaves.
    fn beat(&self) {
        let mut engine = self.leaving.lock().unwrap();
        if !engine.is_up {
            return;
        }
        engine.sequence += 1;
        engine.beat_ms = self.world.now_ms();
        let state = if engine.is_draining { "draining" } else { "ready" };
        let Some(address) = engine.address else { return };
        let record = record(address, ZONES[0], engine.born, engine.sequence, state);
        self.store.put("servers", LEAVING, record);
    }
}

async fn serve(
    shared: &Shared,
    id: &str,
    connection: &mut Connection,
    call: &Message,
) -> io::Result<()> {
    let request_id = call.header("x-request-id").unwrap_or_default().to_owned();
    let common = [("X-Request-Id", request_id.as_str()), ("X-Response-Seal", "s")];
    if call.header("x-expect-instance").is_some_and(|it| it != id) {
        return connection.write(&response(421, &common[..1], "")).await;
    }
    let world = &shared.world;
    world.note(&format!("{id} runs {request_id}"));
    if id == LEAVING {
        let sent_ms = shared.sent_ms.lock().unwrap().get(&request_id).copied().unwrap_or(0);
        let drained_ms = *shared.drained_ms.lock().unwrap();
        if let Some(drained_ms) = drained_ms
            && sent_ms > drained_ms + DRAIN_MS
        {
            world.break_rule(&format!(
                "DRAIN: request {request_id}, sent {} ms after the store had acknowledged that {id} drains, reaches it",
                sent_ms - drained_ms
            ));
        }
    }
    tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
    // An engine that leaves says so in all its answers.
    let leaves = id == LEAVING && shared.leaving.lock().unwrap().is_draining;
    let headers =
        if leaves { [&common[..], &[("Server-Leaving", "1")]].concat() } else { common.to_vec() };
    connection.write(&response(200, &headers, "done")).await
}

fn accept(shared: Arc<Shared>, id: String, listener: TcpListener) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (shared, id) = (shared.clone(), id.clone());
            connections.spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(call)) = connection.read_request().await {
                    if serve(&shared, &id, &mut connection, &call).await.is_err() {
                        return;
                    }
                }
            });
        }
    })
}

async fn call(shared: Arc<Shared>, entry: SocketAddr, is_unsafe: bool) {
    let world = &shared.world;
    let id = world.new_id();
    let (method, path) = if is_unsafe { ("POST", "/file/1") } else { ("GET", "/read/1") };
    let bytes = request(
        method,
        path,
        &[
            ("Host", "a.example"),
            ("X-Request-Id", &id),
            ("Api-Key", "key-north"),
            ("X-Deadline-Remaining", "2500"),
        ],
        if is_unsafe { "notice" } else { "" },
    );
    shared.sent_ms.lock().unwrap().insert(id.clone(), world.now_ms());
    world.note(&format!("sent {id} to {path}"));
    let answered = async {
        let mut connection = Connection::open(entry).await?;
        connection.write(&bytes).await?;
        connection.read_response().await
    };
    let answered = tokio::time::timeout(Duration::from_secs(3), answered).await;
    let end = match answered {
        Ok(Ok(it)) => it.status().to_string(),
        Ok(Err(error)) => format!("no answer: {error}"),
        Err(_) => "no answer in time".to_owned(),
    };
    world.note(&format!("answered {id}: {end}"));
    world.count(&format!("{path} {end}"));
}

fn configuration() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "hostname": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 1_200, "targetLatencyMs": 150, "priority": 1, "service": "workorders",
            "maxAttempts": 2, "stages": [], "allowAnonymous": false, "sessionAffinity": false,
            "streamResumption": false,
        })
    };
    json!({
        "version": 3,
        "routes": [route("file", "unsafe"), route("read", "safe")],
        "services": [{
            "name": "workorders", "healthCheckPath": "/health", "connectionLimit": 96,
            "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
        }],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "tenants": [{ "name": "north", "apiKeys": ["key-north"], "priority": 1 }],
    })
}

/// Plays the life of the engine that leaves.
async fn play(shared: Arc<Shared>, has_trouble: bool) -> io::Result<()> {
    let world = shared.world.clone();
    let begun_ms = world.now_ms();
    let until =
        |at_ms: u64| Duration::from_millis((begun_ms + at_ms).saturating_sub(world.now_ms()));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    *shared.leaving.lock().unwrap() = Engine {
        address: Some(address),
        born: 1_790_000_000_000,
        sequence: 40,
        is_draining: false,
        is_up: true,
        beat_ms: 0,
    };
    shared.beat();
    let served = accept(shared.clone(), LEAVING.to_owned(), listener);
    tokio::time::sleep(until(CRASH_MS)).await;
    let late = {
        let mut engine = shared.leaving.lock().unwrap();
        engine.is_up = false;
        record(address, ZONES[0], engine.born, engine.sequence + 1, "ready")
    };
    world.note(&format!("{LEAVING} sends its record, which the store executes late, and crashes"));
    served.abort();
    let _ = served.await;
    tokio::time::sleep(until(RESTART_MS)).await;
    let listener = TcpListener::bind(address).await?;
    {
        let mut engine = shared.leaving.lock().unwrap();
        (engine.born, engine.sequence, engine.is_up) = (1_790_000_004_500, 0, true);
    }
    world.note(&format!("{LEAVING} starts again under its id"));
    let served = accept(shared.clone(), LEAVING.to_owned(), listener);
    shared.beat();
    tokio::time::sleep(until(DRAINING_MS)).await;
    shared.leaving.lock().unwrap().is_draining = true;
    shared.beat();
    *shared.drained_ms.lock().unwrap() = Some(world.now_ms());
    world.note(&format!("the store acknowledges that {LEAVING} drains"));
    tokio::time::sleep(until(LATE_WRITE_MS)).await;
    if has_trouble {
        world.note(&format!("the store executes the record of the former run of {LEAVING}"));
        shared.store.put("servers", LEAVING, late);
    }
    tokio::time::sleep(until(EXIT_MS)).await;
    world.note(&format!("{LEAVING} exits"));
    shared.leaving.lock().unwrap().is_up = false;
    shared.store.remove("servers", LEAVING);
    served.abort();
    tokio::time::sleep(until(END_MS)).await;
    Ok(())
}

pub async fn run(run: Run) -> io::Result<()> {
    let store = Store::start().await?;
    store.put("config", "main", configuration());
    let shared = Arc::new(Shared {
        world: run.world.clone(),
        store: store.clone(),
        leaving: Mutex::default(),
        drained_ms: Mutex::default(),
        sent_ms: Mutex::default(),
    });
    for index in 1..3 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-{index}");
        let address = listener.local_addr()?;
        accept(shared.clone(), id.clone(), listener);
        let (store, born) = (store.clone(), 1_790_000_000_000);
        tokio::spawn(async move {
            for sequence in 1.. {
                store.put("servers", &id, record(address, ZONES[index], born, sequence, "ready"));
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
            }
        });
    }
    let beats = shared.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let beat_ms = beats.leaving.lock().unwrap().beat_ms;
            if beats.world.now_ms() >= beat_ms + BEAT_MS {
                beats.beat();
            }
        }
    });
    let bounds = Bounds { retry_ratio: 0.2, retry_slack: 52.0 };
    let mut relays = Vec::new();
    for zone in ZONES {
        let name = format!("front-{zone}-1");
        relays
            .push(Relay::start(&run.root, &run.folder, &name, zone, store.address, &bounds).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let entries: Vec<SocketAddr> = relays.iter().map(|it| it.address).collect();
    let traffic = shared.clone();
    let traffic = tokio::spawn(async move {
        for number in 0_usize.. {
            let is_unsafe = number % 7 < 5;
            tokio::spawn(call(traffic.clone(), entries[number % entries.len()], is_unsafe));
            tokio::time::sleep(Duration::from_secs_f64(1.0 / PER_S)).await;
        }
    });
    play(shared, run.has_trouble).await?;
    traffic.abort();
    tokio::time::sleep(Duration::from_secs(3)).await;
    for relay in relays {
        relay.close().await;
    }
    Ok(())
}
