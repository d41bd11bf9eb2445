//! A stage server sends an answer a second time, where the next one is expected.

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    http::encode,
    stack::{Record, Relay, configuration, exchange, route, server_record, service, stage_service},
    stage::{ModelServer, Results, StageServer},
    store::Store,
};

/// Length of one disruption, and pause between two, in seconds.
const DISRUPTION_S: (u64, u64) = (5, 1);
/// One in so many answers of the disrupted servers is sent again.
const EXTRA_EVERY: u64 = 34;
/// Longest time for which callers send requests, in seconds.
const LONGEST_S: u64 = 75;
/// Time between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 76;
/// Pieces of each request.
const PIECES: u64 = 10;

pub async fn run(record: &Record, output: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start().await?;
    let results = Results::default();
    let is_disrupted = Arc::new(AtomicBool::new(false));
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut stages = Vec::new();
    for index in 0..5 {
        let id = format!("i-stage{index}");
        // Three of five servers.
        let every = if has_trouble && index < 3 { EXTRA_EVERY } else { 0 };
        let server = StageServer::start(&id, &results, record, every, &is_disrupted, (200, 17_000));
        let server = server.await?;
        store.put("servers", &id, server_record("tagging", server.address, zones[index % 3], 1));
        stages.push(server);
    }
    let mut models = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-model{index}");
        let server = ModelServer::start(&id, &results, record).await?;
        store.put("servers", &id, server_record("model", server.address, zone, 64));
        models.push(server);
    }
    let mut draft = route("draft", "streaming", "model");
    draft["stages"] = json!([{ "service": "tagging", "after": [], "bytes": 500_000 }]);
    let mut tagging = stage_service("tagging", 10, 200.0);
    tagging["pieces"]["itemMs"] = json!(17.0);
    store.put("config", "main", configuration(vec![draft], vec![service("model"), tagging]));
    let mut relays = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let name = format!("front-{zone}-1");
        let log = output.join(format!("relay-{index}.log"));
        relays.push(Relay::start(&name, zone, store.address, &log).await?);
    }
    for relay in &relays {
        relay.wait_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    let mut sent = 0;
    let mut broken_at: Option<Instant> = None;
    while started.elapsed() < Duration::from_secs(LONGEST_S) {
        let phase_s = started.elapsed().as_secs() % (DISRUPTION_S.0 + DISRUPTION_S.1);
        is_disrupted.store(phase_s < DISRUPTION_S.0, Ordering::Relaxed);
        let (address, record) = (relays[sent % relays.len()].address, record.clone());
        let id = format!("{:016x}", 0x9c41_0000_u64 + sent as u64);
        sent += 1;
        callers.spawn(async move {
            record.add(format!("caller: sends {id}"));
            let pieces = PIECES.to_string();
            let key = format!("key{id}");
            let headers = [
                ("Host", "desk.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Remaining", "6000"),
                ("Api-Key", "key-north"),
                ("X-Model", "m"),
                ("X-Token-Counts", "1460,80"),
                ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
                ("X-Pieces", pieces.as_str()),
                ("X-Piece-Key", key.as_str()),
            ];
            let request = encode("POST /draft/1 HTTP/1.1", &headers, b"{}");
            match exchange(address, &request).await {
                Ok(answer) => {
                    let (status, whole) = (answer.status(), answer.is_complete);
                    record.add(format!("caller: {id} got {status}, complete: {whole}"));
                    status == 200 && whole
                }
                Err(error) => {
                    record.add(format!("caller: {id} failed: {error}"));
                    false
                }
            }
        });
        tokio::time::sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
        let is_broken = models.iter().any(|it| !it.broken.lock().unwrap().is_empty());
        if is_broken && broken_at.get_or_insert_with(Instant::now).elapsed().as_secs() >= 3 {
            break;
        }
    }
    let mut served = 0;
    while let Some(answer) = callers.join_next().await {
        served += usize::from(answer.unwrap_or(false));
    }
    let broken: usize = models.iter().map(|it| it.broken.lock().unwrap().len()).sum();
    let extras: u64 = stages.iter().map(|it| it.extras.load(Ordering::Relaxed)).sum();
    record.add(format!(
        "RESULT sent {sent}, served {served}, answers sent twice {extras}, requests run with foreign inputs {broken}"
    ));
    for relay in relays {
        relay.close().await;
    }
    if served * 10 < sent * 8 && broken == 0 {
        return Err(io::Error::other("the system did not serve the callers"));
    }
    Ok(broken > 0)
}
