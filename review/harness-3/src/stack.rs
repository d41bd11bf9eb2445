//! Relay processes, the configuration, callers and the record of a run.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    process::{Child, Command},
    time::Instant,
};

use crate::http::{Connection, Message, encode};

/// What was sent, answered and run, with times in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{ms:>7} ms  {}", line.as_ref()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        std::fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}

/// A relay process; killed when dropped.
pub struct Relay {
    pub address: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    _directory: Directory,
}

/// A temporary folder; removed when dropped.
pub struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns addresses with ports that are free now, each another one.
async fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    Ok([
        listeners[0].local_addr()?,
        listeners[1].local_addr()?,
        listeners[2].local_addr()?,
        listeners[3].local_addr()?,
    ])
}

/// Number of starts to try, in case another process has taken a port meanwhile.
const STARTS: usize = 4;

impl Relay {
    /// Starts a relay with the command of the deploy file and the settings that its template renders.
    pub async fn start(name: &str, zone: &str, store: SocketAddr, log: &Path) -> io::Result<Self> {
        for _ in 0..STARTS {
            let mut relay = Self::start_once(name, zone, store, log).await?;
            tokio::time::sleep(Duration::from_millis(300)).await;
            if relay.child.try_wait()?.is_none() {
                return Ok(relay);
            }
        }
        Err(io::Error::other("the relay does not start"))
    }

    async fn start_once(
        name: &str,
        zone: &str,
        store: SocketAddr,
        log: &Path,
    ) -> io::Result<Self> {
        let [address, ready, peer, metrics] = free_addresses().await?;
        let directory = std::env::temp_dir().join(format!("review-3-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let settings = directory.join("node.conf");
        let lines = [
            format!("--name={name}"),
            format!("--data-centre={zone}"),
            format!("--listen={address}"),
            format!("--ready-listen={ready}"),
            format!("--peer-listen={peer}"),
            format!("--metrics-listen={metrics}"),
            format!("--platform={store}"),
            "--cpu-share=0.19".to_owned(),
            "--grace-period-s=8".to_owned(),
            "--retry-ratio=0.2".to_owned(),
            "--retry-slack=52".to_owned(),
            "--retry-window-s=10".to_owned(),
            "--first-start".to_owned(),
            "--memory-limit-mb=260".to_owned(),
            "--file-descriptor-limit=4100".to_owned(),
        ];
        std::fs::write(&settings, lines.join("\n") + "\n")?;
        let output = std::fs::File::create(log)?;
        let child = Command::new("target/release/yuccatrail")
            .arg("relay")
            .env("YUCCATRAIL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { address, ready, child, _directory: Directory(directory) })
    }

    pub async fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            let request = encode("GET /-/readiness HTTP/1.1", &[("Host", "ready")], b"");
            if let Ok(response) = exchange(self.ready, &request).await
                && response.status() == 200
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other("the relay did not become ready"))
    }

    pub async fn close(mut self) {
        let _ = self.child.kill().await;
    }
}

/// Sends a request on a connection of its own and reads the response.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Message> {
    let mut connection = Connection::new(TcpStream::connect(address).await?);
    connection.write(request).await?;
    connection.read().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "hostname": "desk.example", "pathPrefix": format!("/{name}/"), "kind": kind,
        "timeoutMs": 6_000, "targetLatencyMs": 1_100, "priority": 0, "service": service,
        "maxAttempts": 2, "stages": [], "allowAnonymous": false, "sessionAffinity": true,
        "streamResumption": false, "gapTargetMs": 300,
    })
}

pub fn service(name: &str) -> Value {
    json!({
        "name": name, "healthCheckPath": "/health", "connectionLimit": 360,
        "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
    })
}

pub fn stage_service(name: &str, batch: u64, call_ms: f64) -> Value {
    let mut stage = service(name);
    stage["pieces"] = json!({
        "slots": 1, "queue": 2, "batch": batch, "callMs": call_ms, "itemMs": 1.0,
        "headroomMb": 22.0, "handleS": 4.0, "linkMbps": 10_000,
    });
    stage
}

pub fn configuration(routes: Vec<Value>, services: Vec<Value>) -> Value {
    json!({
        "version": 7, "routes": routes, "services": services,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "tenants": [{ "name": "north", "apiKeys": ["key-north"] }],
    })
}

pub fn server_record(service: &str, address: SocketAddr, zone: &str, slots: u64) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        "born": 1_780_000_000_000_u64,
    })
}
