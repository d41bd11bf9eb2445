//! Entries of another writer among those of the engines, under names that need encoding in a query, and
//! the restart of all entries.

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
/// Engines of all services, as on the sheet.
const ENGINES: usize = 36;
/// Entries of another writer; they name a service that no configuration knows.
const FOREIGN: usize = 20;
const PER_S: f64 = 18.3;
/// Time for which the entries are down, in milliseconds: `kill_all` in the site file, down_s 1.6.
const DOWN_MS: u64 = 1_600;
/// `recoveryS` of the site, in milliseconds, and the time for which requests are judged after it.
const RECOVERY_MS: u64 = 12_000;
const JUDGED_MS: u64 = 10_000;

struct Shared {
    world: Arc<World>,
    /// Times at which requests were sent, in milliseconds, each with whether it was served.
    requests: Mutex<Vec<(u64, bool)>>,
}

impl Shared {
    /// Returns how many requests were sent in an interval, and how many of them were served.
    fn served(&self, from_ms: u64, until_ms: u64) -> (usize, usize) {
        let requests = self.requests.lock().unwrap();
        let sent = requests.iter().filter(|it| it.0 >= from_ms && it.0 < until_ms);
        let served = sent.clone().filter(|it| it.1).count();
        (sent.count(), served)
    }
}

fn configuration() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "read", "hostname": "a.example", "pathPrefix": "/read/", "kind": "safe",
            "timeoutMs": 1_200, "targetLatencyMs": 150, "priority": 1, "service": "workorders",
            "maxAttempts": 2, "stages": [], "allowAnonymous": false, "sessionAffinity": false,
            "streamResumption": false,
        }],
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

async fn start_engine(store: &Store, index: usize) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let id = format!("i-{index:02}");
    let service = if index < 3 { "workorders" } else { "yt-model" };
    store.put(
        "servers",
        &id,
        json!({
            "service": service, "address": listener.local_addr()?.to_string(),
            "zone": ZONES[index % 3], "version": "v1", "slots": 6, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": 1_790_000_000_000_u64,
        }),
    );
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(Some(call)) = connection.read_request().await {
                    let id = call.header("x-request-id").unwrap_or_default();
                    let headers = [("X-Request-Id", id), ("X-Response-Seal", "s")];
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    if connection.write(&response(200, &headers, "done")).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

async fn call(shared: Arc<Shared>, entry: SocketAddr) {
    let id = shared.world.new_id();
    let bytes = request(
        "GET",
        "/read/1",
        &[
            ("Host", "a.example"),
            ("X-Request-Id", &id),
            ("Api-Key", "key-north"),
            ("X-Deadline-Remaining", "2500"),
        ],
        "",
    );
    let sent_ms = shared.world.now_ms();
    shared.world.note(&format!("sent {id}"));
    let answered = async {
        let mut connection = Connection::open(entry).await?;
        connection.write(&bytes).await?;
        connection.read_response().await
    };
    let answered = tokio::time::timeout(Duration::from_millis(2_500), answered).await;
    let end = match answered {
        Ok(Ok(it)) => it.status().to_string(),
        Ok(Err(error)) => format!("no answer: {error}"),
        Err(_) => "no answer in time".to_owned(),
    };
    shared.world.note(&format!("answered {id}: {end}"));
    shared.world.count(&end);
    shared.requests.lock().unwrap().push((sent_ms, end == "200"));
}

pub async fn run(run: Run) -> io::Result<()> {
    let world = run.world.clone();
    let store = Store::start().await?;
    store.put("config", "main", configuration());
    for index in 0..ENGINES {
        start_engine(&store, index).await?;
    }
    let bounds = Bounds { retry_ratio: 0.2, retry_slack: 52.0 };
    let mut relays = Vec::new();
    for zone in ZONES {
        let name = format!("front-{zone}-1");
        relays
            .push(Relay::start(&run.root, &run.folder, &name, zone, store.address, &bounds).await?);
    }
    let shared = Arc::new(Shared { world: world.clone(), requests: Mutex::default() });
    let entries: Vec<SocketAddr> = relays.iter().map(|it| it.address).collect();
    let traffic = shared.clone();
    let traffic = tokio::spawn(async move {
        for number in 0_usize.. {
            tokio::spawn(call(traffic.clone(), entries[number % entries.len()]));
            tokio::time::sleep(Duration::from_secs_f64(1.0 / PER_S)).await;
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    if run.has_trouble {
        world.note("another writer leaves entries");
        for index in 0..FOREIGN {
            let entry = json!({ "service": "night batch", "started": index });
            store.put("servers", &format!("job {index:02}"), entry);
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let killed_ms = world.now_ms();
    world.note("all entries are killed");
    for relay in &mut relays {
        relay.kill().await;
    }
    tokio::time::sleep(Duration::from_millis(DOWN_MS)).await;
    for relay in &mut relays {
        relay.start_again()?;
    }
    let back_ms = world.now_ms();
    let calls = store.calls();
    world.note("all entries are back");
    tokio::time::sleep(Duration::from_millis(RECOVERY_MS + JUDGED_MS + 3_000)).await;
    traffic.abort();
    let (before, served_before) = shared.served(0, killed_ms.saturating_sub(2_500));
    let from_ms = back_ms + RECOVERY_MS;
    let (after, served_after) = shared.served(from_ms, from_ms + JUDGED_MS);
    world.note(&format!(
        "served {served_before} of {before} before the kill, {served_after} of {after} later than {RECOVERY_MS} ms after the return; {} calls to the store since the return",
        store.calls() - calls
    ));
    if served_before * 4 >= before && served_after * 4 < after {
        world.break_rule(&format!(
            "RECOVER: {served_after} of {after} requests are served later than {RECOVERY_MS} ms after the machines are back"
        ));
    }
    for relay in relays {
        relay.close().await;
    }
    Ok(())
}
