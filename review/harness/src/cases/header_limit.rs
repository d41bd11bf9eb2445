//! The operator lowers the limit on the size of callers' headers.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::{HOST, KEY, Outcome, ZONES, configuration, route, service, start_entries};
use crate::{
    engine::{self, Shared, Work},
    http::{call, request},
    store::Store,
};

/// Limit of the second configuration, in bytes; each request of these clients takes under 300.
const LOWERED_BYTES: u64 = 8_000;
const DEADLINE_MS: u64 = 2_500;
const TOUCH: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Clients of each entry; each opens a new connection for every request.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(250);
const PHASE: Duration = Duration::from_secs(10);

struct Try {
    client: usize,
    at_ms: u64,
    end: String,
    is_served: bool,
    /// The connection was accepted, whether it brought an answer or not.
    is_taken: bool,
}

pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let shared = Shared::new();
    let store = Store::start()?;
    for zone in ZONES {
        let id = format!("i-orders-{zone}");
        let address = engine::start(&id, Work::Plain { bytes: 800, ms: 30 }, &shared)?;
        store.put("servers", &id, engine::record("orders", address, zone, 6));
    }
    let routes = json!([route("/read/", "safe", "orders", DEADLINE_MS)]);
    let services = json!([service("orders")]);
    store.put("config", "main", configuration(1, routes.clone(), services.clone()));
    let (deployment, relays) = start_entries(root, folder, &store)?;
    let tries: Vec<Arc<Mutex<Vec<Try>>>> = relays.iter().map(|_| Arc::default()).collect();
    let ready: Vec<Arc<Mutex<Vec<(u64, bool)>>>> = relays.iter().map(|_| Arc::default()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (index, relay) in relays.iter().enumerate() {
        for client in 0..CLIENTS {
            let (address, tries, stop, shared) =
                (relay.callers, tries[index].clone(), stop.clone(), shared.clone());
            threads.push(thread::spawn(move || {
                thread::sleep(PAUSE / CLIENTS as u32 * client as u32);
                let mut number = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{index:02x}{client:02x}{number:012x}");
                    let headers = [
                        ("Host", HOST),
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Remaining", "2500"),
                        ("Api-Key", KEY),
                    ];
                    let at_ms = shared.now_ms();
                    let request = request("GET", "/read/2f", &headers, b"");
                    let answer = call(address, &request, Duration::from_millis(DEADLINE_MS));
                    let (end, is_served, is_taken) = match answer {
                        Ok(it) if it.status == 0 => {
                            (format!("no answer: {}", it.error), false, true)
                        }
                        Ok(it) => (it.status.to_string(), it.status == 200 && it.is_complete, true),
                        Err(error) => (error.to_string(), false, false),
                    };
                    tries.lock().unwrap().push(Try { client, at_ms, end, is_served, is_taken });
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut second = configuration(2, routes, services);
    if has_trouble {
        second["limits"]["maxHeaderBytes"] = json!(LOWERED_BYTES);
    }
    store.put("config", "main", second);
    let changed_ms = shared.now_ms();
    let begun = Instant::now();
    // The platform asks each entry once a second whether it is ready.
    while begun.elapsed() < PHASE {
        for (index, relay) in relays.iter().enumerate() {
            ready[index].lock().unwrap().push((shared.now_ms(), relay.is_ready()));
        }
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("the client does not panic");
    }
    let (mut broken, mut lines) = (Vec::new(), Vec::new());
    lines.push(format!(
        "{changed_ms:>6} ms  configuration 2 acknowledged, maxHeaderBytes {}",
        if has_trouble { LOWERED_BYTES } else { 16_384 }
    ));
    let in_force_ms = changed_ms + CONFIG_APPLY.as_millis() as u64;
    for (index, relay) in relays.iter().enumerate() {
        let tries = tries[index].lock().unwrap();
        let name = &relay.name;
        let before: Vec<&Try> = tries.iter().filter(|it| it.at_ms < changed_ms).collect();
        let served_before = before.iter().filter(|it| it.is_served).count();
        lines.push(format!("{name}: before the change {served_before} of {} served", before.len()));
        if served_before * 10 < before.len() * 9 {
            return Err(io::Error::other(format!("{name} does not serve before the change")));
        }
        let ready = ready[index].lock().unwrap();
        let from_ms = in_force_ms;
        let until_ms = from_ms + TOUCH.as_millis() as u64;
        let window: Vec<&Try> =
            tries.iter().filter(|it| (from_ms..until_ms).contains(&it.at_ms)).collect();
        let mut clients: Vec<usize> = window.iter().map(|it| it.client).collect();
        clients.sort_unstable();
        clients.dedup();
        let taken = window.iter().filter(|it| it.is_taken).count();
        let after: Vec<&Try> = tries.iter().filter(|it| it.at_ms >= from_ms).collect();
        let served_after = after.iter().filter(|it| it.is_served).count();
        let mut ends: std::collections::BTreeMap<&str, usize> = Default::default();
        for it in &after {
            *ends.entry(it.end.as_str()).or_default() += 1;
        }
        let says_ready = ready.iter().filter(|it| it.0 >= changed_ms).all(|it| it.1);
        let line = format!(
            "{name}: in the {} ms from {from_ms} ms on, {} clients tried {} times, {taken} new connections were taken; it says it is ready: {says_ready}; afterwards {served_after} of {} served in all: {ends:?}",
            TOUCH.as_millis(),
            clients.len(),
            window.len(),
            after.len()
        );
        lines.push(line.clone());
        lines.extend(
            deployment
                .log_lines(relay, "panic")
                .into_iter()
                .take(3)
                // Without the path of the build.
                .filter_map(|it| Some(format!("  log: panicked at {}", &it[it.find("hyper-")?..]))),
        );
        if says_ready && clients.len() >= 7 && taken == 0 {
            broken.push(line);
        }
    }
    let runs = shared.ledger.lock().unwrap().runs.len();
    lines.push(format!("requests run by engines in all: {runs}"));
    Ok(Outcome { broken, lines })
}
