//! Engines of stages send an answer a second time, at the point where the next one is expected.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{HOST, KEY, Outcome, ZONES, configuration, route, service, start_entries};
use crate::{
    engine::{self, Run, Shared, Work},
    http::{call, request},
    store::Store,
};

/// Engines of each stage service, and how many of them are faulty: three fifths.
const STAGE_ENGINES: usize = 5;
const FAULTY_ENGINES: usize = 3;
/// Answers of a faulty engine that it sends twice, in thousandths.
const LATE_COPIES: u64 = 30;
const DEADLINE_MS: u64 = 6_000;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(70);
/// The disruption lasts for the first, is over for the second, and comes again.
const TROUBLE: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(1);
const ROUNDS: usize = 12;

pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let shared = Shared::new();
    let store = Store::start()?;
    for name in ["tagging", "billing"] {
        for index in 0..STAGE_ENGINES {
            let zone = ZONES[index % ZONES.len()];
            let id = format!("i-{name}-{index}");
            let late_copies =
                if name == "tagging" && index < FAULTY_ENGINES { LATE_COPIES } else { 0 };
            let work = Work::Stage { call_ms: 200, piece_ms: 5, late_copies };
            let address = engine::start(&id, work, &shared)?;
            store.put("servers", &id, engine::record(name, address, zone, 1));
        }
    }
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("i-model-{index}");
        let address = engine::start(&id, Work::Model { events: 6, gap_ms: 20 }, &shared)?;
        store.put("servers", &id, engine::record("yt-model", address, zone, 64));
    }
    let mut staged = route("/note/", "streaming", "yt-model", DEADLINE_MS);
    staged["stages"] = json!([
        { "service": "tagging", "after": [], "bytes": 8_000 },
        { "service": "billing", "after": [0], "bytes": 6_000 },
    ]);
    let stage = |name: &str| {
        let mut stage = service(name);
        stage["pieces"] = json!({
            "slots": 1, "queue": 2, "batch": 10, "callMs": 200.0, "itemMs": 5.0,
            "headroomMb": 22.0, "handleS": 4.0, "linkMbps": 10_000,
        });
        stage
    };
    let mut model = service("yt-model");
    model["engine"] = json!({ "slots": 64, "kvCacheTokens": 328_465 });
    let services: Value = json!([model, stage("tagging"), stage("billing")]);
    store.put("config", "main", configuration(1, json!([staged]), services));
    let (_deployment, relays) = start_entries(root, folder, &store)?;
    let addresses: Vec<_> = relays.iter().map(|it| it.callers).collect();
    let answers: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    let begun = Instant::now();
    let round = TROUBLE + CALM;
    let mut number = 0_u64;
    while begun.elapsed() < round * ROUNDS as u32 {
        let in_round = begun.elapsed().as_millis() % round.as_millis();
        let is_troubled = has_trouble && in_round < TROUBLE.as_millis();
        shared.is_troubled.store(is_troubled, Ordering::Relaxed);
        number += 1;
        let address = addresses[number as usize % addresses.len()];
        let (answers, shared) = (answers.clone(), shared.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let (deadline, key) = (DEADLINE_MS.to_string(), format!("k{number:011x}"));
            let prefix = format!("5c1e07a2:60,{number:08x}:40");
            let headers = [
                ("Host", HOST),
                ("X-Request-Id", id.as_str()),
                ("X-Model", "m"),
                ("X-Token-Counts", "100,24"),
                ("X-Prompt-Prefix", prefix.as_str()),
                ("X-Pieces", "1,1"),
                ("X-Piece-Key", key.as_str()),
                ("X-Deadline-Remaining", deadline.as_str()),
                ("Api-Key", KEY),
            ];
            let sent_ms = shared.now_ms();
            let request = request("POST", "/note/2f", &headers, b"{}");
            let answer = call(address, &request, Duration::from_millis(DEADLINE_MS));
            let (status, is_complete) = answer.map_or((0, false), |it| (it.status, it.is_complete));
            let line = format!(
                "{sent_ms:>6} ms  {id} sent; at {} ms answered {status}, whole: {is_complete}",
                shared.now_ms()
            );
            answers.lock().unwrap().push(line);
        }));
        thread::sleep(INTERVAL);
    }
    for client in clients {
        client.join().expect("the client does not panic");
    }
    let ledger = shared.ledger.lock().unwrap();
    let foreign = |run: &&Run| {
        run.inputs.iter().any(|(_, made)| made.as_ref().is_some_and(|it| it.request != run.request))
    };
    let describe = |run: &Run, verb: &str| {
        let made: Vec<String> = run
            .inputs
            .iter()
            .map(|(handle, made)| match made {
                Some(it) => format!(
                    "{handle} made for {} stage {} piece {}",
                    it.request, it.stage, it.piece
                ),
                None => handle.clone(),
            })
            .collect();
        format!(
            "{:>6} ms  {} {verb} {} of {} with {}",
            run.at_ms,
            run.engine,
            run.what,
            run.request,
            made.join(", ")
        )
    };
    let broken: Vec<String> =
        ledger.runs.iter().filter(foreign).map(|it| describe(it, "runs")).collect();
    let mut lines = answers.lock().unwrap().clone();
    lines.push(String::new());
    lines.extend(ledger.notes.iter().cloned());
    lines.push(String::new());
    lines.extend(ledger.gone.iter().filter(foreign).map(|it| describe(it, "is asked for")));
    lines.push(String::new());
    lines.extend(ledger.runs.iter().map(|it| describe(it, "runs")));
    Ok(Outcome { broken, lines })
}
