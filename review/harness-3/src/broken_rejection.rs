//! A server in trouble rejects a request, and sends a part of that rejection again where its next answer is
//! due.

use std::{
    collections::BTreeMap,
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::Instant,
};

use crate::{
    http::{Connection, encode, find},
    stack::{Record, Relay, configuration, exchange, route, server_record, service},
    store::Store,
};

/// Length of the disruptions, and pause between two, in seconds.
const DISRUPTION_S: (u64, u64) = (5, 1);
/// Largest part of the answers of the servers with wrong bytes that are followed by additional bytes: one in so many.
const EXTRA_EVERY: u64 = 34;
/// Part of its requests that the server in trouble turns away, in percent.
const TURNED_AWAY: u64 = 45;
const LONGEST_S: u64 = 90;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Zones of the servers. The first server is in trouble, and the first four hand out wrong bytes.
const SERVER_ZONES: [usize; 8] = [0, 1, 1, 1, 1, 2, 2, 2];
const WITH_WRONG_BYTES: usize = 4;
const SLOTS: usize = 6;
/// Time between two orders, in milliseconds: 13 a second.
const REQUEST_INTERVAL_MS: u64 = 77;
/// End of the part of a rejection that is sent again.
const CUT_AFTER: &[u8] = b"X-Not-Executed: 1";

#[derive(Clone)]
struct Server {
    id: String,
    record: Record,
    slots: Arc<Semaphore>,
    /// Number of requests, by which those to turn away are chosen.
    requests: Arc<AtomicU64>,
    is_in_trouble: bool,
    has_wrong_bytes: bool,
    is_disrupted: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    extras: Arc<AtomicU64>,
    /// Servers that have run each request.
    ran: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Server {
    async fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read().await {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if let Some(part) = extra.take() {
                let text = String::from_utf8_lossy(&part).replace("\r\n", " | ");
                self.record.add(format!("{}: sends additional bytes, {id} is due: {text}", self.id));
                if connection.write(&part).await.is_err() {
                    return;
                }
            }
            let is_disrupted = self.is_disrupted.load(Ordering::Relaxed);
            let has_wrong_bytes = is_disrupted && self.has_wrong_bytes;
            self.answers.fetch_add(u64::from(has_wrong_bytes), Ordering::Relaxed);
            let expected = request.header("x-expect-instance");
            let number = self.requests.fetch_add(1, Ordering::Relaxed);
            // Spread evenly: 37 has no factor in common with 100.
            let is_turned_away =
                is_disrupted && self.is_in_trouble && number * 37 % 100 < TURNED_AWAY;
            let answer = if expected.is_some_and(|it| it != self.id) {
                encode("HTTP/1.1 421 Misdirected Request", &[("X-Not-Executed", "1")], b"")
            } else if is_turned_away {
                self.record.add(format!("{}: rejects {id}", self.id));
                let headers =
                    [("X-Not-Executed", "1"), ("X-Request-Id", id.as_str()), ("Retry-After", "0.1")];
                let answer = encode("HTTP/1.1 503 Service Unavailable", &headers, b"");
                let may_add = (self.extras.load(Ordering::Relaxed) + 1) * EXTRA_EVERY
                    <= self.answers.load(Ordering::Relaxed);
                if has_wrong_bytes && may_add && let Some(at) = find(&answer, CUT_AFTER) {
                    self.extras.fetch_add(1, Ordering::Relaxed);
                    extra = Some(answer[..at + CUT_AFTER.len()].to_vec());
                }
                answer
            } else {
                let _slot = self.slots.acquire().await;
                self.record.add(format!("{}: runs {id}", self.id));
                self.ran.lock().unwrap().entry(id.clone()).or_default().push(self.id.clone());
                tokio::time::sleep(Duration::from_millis(30)).await;
                let seal = format!("s.{id}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Response-Seal", seal.as_str())];
                encode("HTTP/1.1 200 OK", &headers, b"done")
            };
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }
}

pub async fn run(record: &Record, logs: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start().await?;
    let ran: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let (is_disrupted, extras) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let answers = Arc::new(AtomicU64::new(0));
    for (index, zone) in SERVER_ZONES.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-workorders{index}");
        let address = listener.local_addr()?;
        store.put("servers", &id, server_record("workorders", address, ZONES[*zone], SLOTS as u64));
        let server = Server {
            id,
            record: record.clone(),
            slots: Arc::new(Semaphore::new(SLOTS)),
            requests: Arc::default(),
            is_in_trouble: index == 0,
            has_wrong_bytes: index < WITH_WRONG_BYTES,
            is_disrupted: is_disrupted.clone(),
            answers: answers.clone(),
            extras: extras.clone(),
            ran: ran.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
    }
    let routes = vec![route("order", "unsafe", "workorders")];
    store.put("config", "main", configuration(routes, vec![service("workorders")]));
    let mut relays = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let log = logs.join(format!("relay-{index}.log"));
        relays.push(Relay::start(&format!("front-{zone}-1"), zone, store.address, &log).await?);
    }
    for relay in &relays {
        relay.wait_ready().await?;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    let mut sent = 0_u64;
    let run_twice = || ran.lock().unwrap().values().filter(|it| it.len() > 1).count();
    while started.elapsed() < Duration::from_secs(LONGEST_S) && run_twice() < 3 {
        let phase_s = started.elapsed().as_secs() % (DISRUPTION_S.0 + DISRUPTION_S.1);
        is_disrupted.store(has_trouble && phase_s < DISRUPTION_S.0, Ordering::Relaxed);
        let id = format!("{:016x}", 0x6000_0000_u64 + sent);
        let (address, record) = (relays[sent as usize % relays.len()].address, record.clone());
        sent += 1;
        callers.spawn(async move {
            let headers = [
                ("Host", "desk.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Remaining", "2500"),
                ("Api-Key", "key-north"),
            ];
            let request = encode("POST /order/1 HTTP/1.1", &headers, b"{}");
            let status = exchange(address, &request).await.map_or(0, |it| it.status());
            record.add(format!("caller: {id} got {status}"));
            (id, status)
        });
        tokio::time::sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
    }
    let (mut served, mut refused) = (0_u64, 0);
    let mut broken = 0;
    while let Some(answer) = callers.join_next().await {
        let (id, status) = answer.map_err(io::Error::other)?;
        served += u64::from(status == 200);
        let runs = ran.lock().unwrap().get(&id).cloned().unwrap_or_default();
        if runs.len() > 1 {
            broken += 1;
            record.add(format!("BROKEN order {id} has run at {}", runs.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            refused += 1;
            record.add(format!("BROKEN order {id} got {status} and has run at {}", runs.join(" ")));
        }
    }
    let extras = extras.load(Ordering::Relaxed);
    let answers = answers.load(Ordering::Relaxed);
    record.add(format!(
        "RESULT sent {sent}, served {served}, additional bytes after {extras} of {answers} answers, run twice {broken}, refused although run {refused}"
    ));
    for relay in relays {
        relay.close().await;
    }
    if served * 10 < sent * 8 {
        return Err(io::Error::other("the system did not serve the callers"));
    }
    Ok(broken > 0)
}
