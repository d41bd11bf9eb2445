//! A store that loses some answers for a second, while a zone is evacuated.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{
    Run,
    http::{Connection, request, response},
    relay::{Bounds, Relay},
    store::Store,
    world::World,
};

const ZONES: [&str; 3] = ["tx-central-a", "tx-central-b", "tx-central-c"];
/// Zone that is evacuated.
const EVACUATED: usize = 1;
const ENGINES: usize = 6;
const BEAT_MS: u64 = 1_200;
/// Share of the answers that are lost, and for how long, in milliseconds; `platform_lost` in the site
/// file has x 0.35 and 4.5 s.
const LOST_SHARE: f64 = 0.3;
const LOST_MS: u64 = 1_000;
/// `evacuationMs` and `maxStretchMs` of the site; together the longest time that any state of the store
/// allows.
const EVACUATION_MS: u64 = 5_000;
const STRETCH_MS: u64 = 5_000;
const EVACUATIONS: usize = 4;
const EVACUATED_MS: u64 = 18_000;
const PAUSE_MS: u64 = 7_000;
const PER_S: f64 = 18.3;

struct Shared {
    world: Arc<World>,
    /// Time at which the store has acknowledged the evacuation in force.
    evacuated_ms: Mutex<Option<u64>>,
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

async fn start_engine(shared: Arc<Shared>, store: Store, index: usize) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (id, zone) = (format!("i-{index}"), index % ZONES.len());
    let address = listener.local_addr()?;
    let engine = id.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (shared, id) = (shared.clone(), engine.clone());
            tokio::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(call)) = connection.read_request().await {
                    let request_id = call.header("x-request-id").unwrap_or_default().to_owned();
                    let common =
                        [("X-Request-Id", request_id.as_str()), ("X-Response-Seal", "s")];
                    let world = &shared.world;
                    world.note(&format!("{id} runs {request_id}"));
                    let since_ms = *shared.evacuated_ms.lock().unwrap();
                    if zone == EVACUATED
                        && let Some(since_ms) = since_ms
                        && world.now_ms() > since_ms + EVACUATION_MS + STRETCH_MS
                    {
                        world.break_rule(&format!(
                            "EVAC: request {request_id} reaches {id} in {}, {} ms after its evacuation was acknowledged",
                            ZONES[EVACUATED],
                            world.now_ms() - since_ms
                        ));
                    }
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    if connection.write(&response(200, &common, "done")).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    tokio::spawn(async move {
        for sequence in 1.. {
            let record = json!({
                "service": "workorders", "address": address.to_string(), "zone": ZONES[zone],
                "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
                "sequence": sequence, "born": 1_790_000_000_000_u64,
            });
            store.put("servers", &id, record);
            tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
        }
    });
    Ok(())
}

async fn call(shared: Arc<Shared>, entry: SocketAddr, name: String, is_unsafe: bool) {
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
    world.note(&format!("sent {id} to {name}"));
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

pub async fn run(run: Run) -> io::Result<()> {
    let world = run.world.clone();
    let store = Store::start().await?;
    store.put("config", "main", configuration());
    let shared = Arc::new(Shared { world: world.clone(), evacuated_ms: Mutex::default() });
    for index in 0..ENGINES {
        start_engine(shared.clone(), store.clone(), index).await?;
    }
    let bounds = Bounds { retry_ratio: 0.2, retry_slack: 52.0 };
    let mut relays = Vec::new();
    for zone in ZONES {
        let name = format!("front-{zone}-1");
        relays.push(
            Relay::start(&run.root, &run.folder, &name, zone, store.address, &bounds).await?,
        );
    }
    let entries: Vec<(SocketAddr, String)> =
        relays.iter().map(|it| (it.address, it.name.clone())).collect();
    let traffic = shared.clone();
    let traffic = tokio::spawn(async move {
        for number in 0_usize.. {
            let (address, name) = entries[number % entries.len()].clone();
            tokio::spawn(call(traffic.clone(), address, name, number % 7 < 5));
            tokio::time::sleep(Duration::from_secs_f64(1.0 / PER_S)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    for _ in 0..EVACUATIONS {
        if run.has_trouble {
            store.lose_answers(LOST_SHARE);
            world.note("the store loses some answers");
        }
        store.put("evacuations", ZONES[EVACUATED], json!({}));
        *shared.evacuated_ms.lock().unwrap() = Some(world.now_ms());
        world.note(&format!("the store acknowledges that {} is evacuated", ZONES[EVACUATED]));
        tokio::time::sleep(Duration::from_millis(LOST_MS)).await;
        store.lose_answers(0.0);
        world.note("the store loses no answers any more");
        tokio::time::sleep(Duration::from_millis(EVACUATED_MS - LOST_MS)).await;
        *shared.evacuated_ms.lock().unwrap() = None;
        store.remove("evacuations", ZONES[EVACUATED]);
        world.note(&format!("{} is taken back", ZONES[EVACUATED]));
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    traffic.abort();
    for relay in relays {
        relay.close().await;
    }
    Ok(())
}
