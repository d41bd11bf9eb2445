//! Relays: the program and the settings template of the deploy file, as separate processes.

use std::{
    collections::BTreeMap,
    fs, io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::Stdio,
    time::Duration,
};

use tokio::{
    process::{Child, Command},
    time::Instant,
};

use crate::http::{Connection, request};

/// Settings of a deployment that the template asks for, with the values of a small site.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub retry_ratio: f64,
    pub retry_slack: f64,
}

/// A running relay; killed when dropped.
#[derive(Debug)]
pub struct Relay {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Returns a port that is free now.
fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// Renders the template for the placeholders that it uses.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut rendered = String::new();
    for line in template.lines() {
        let mut line = line.to_owned();
        if let Some(rest) = line.strip_prefix("{{#") {
            let Some((name, rest)) = rest.split_once("}}") else { continue };
            let Some(value) = values.get(name) else { continue };
            let content = rest.split("{{/").next().unwrap_or_default();
            line = content.replace("{{.}}", value);
        }
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        rendered.push_str(&line);
        rendered.push('\n');
    }
    rendered
}

/// Starts the program of the deploy file.
fn spawn(root: &PathBuf, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(root.join("target/release/yuccatrail"))
        .arg("relay")
        .current_dir(root)
        .env("YUCCATRAIL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .kill_on_drop(true)
        .spawn()
}

impl Relay {
    /// Starts a relay and waits until it reports ready.
    pub async fn start(
        root: &PathBuf,
        folder: &PathBuf,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bounds: &Bounds,
    ) -> io::Result<Self> {
        let template = fs::read_to_string(root.join("deploy/settings.template"))?;
        let (front, ready, peer, metrics) =
            (free_port()?, free_port()?, free_port()?, free_port()?);
        let address = |port: u16| format!("127.0.0.1:{port}");
        let values = BTreeMap::from([
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listenAddresses.front", address(front)),
            ("listenAddresses.ready", address(ready)),
            ("ipAddress", "127.0.0.1".to_owned()),
            ("internalPortRange.0", peer.to_string()),
            ("platform.address", store.to_string()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("bounds.gracePeriodS", "8".to_owned()),
            ("bounds.retryBudgetRatio", bounds.retry_ratio.to_string()),
            ("bounds.retryBudgetSlack", bounds.retry_slack.to_string()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("firstStart", "true".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.fileDescriptors", "4100".to_owned()),
        ]);
        // All relays share the loopback address, so each gets a metrics port of its own.
        let settings = render(&template, &values).replace(":9464", &format!(":{metrics}"));
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(root, &path, &log)?;
        let to_address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let relay = Self {
            name: name.to_owned(),
            address: to_address(front),
            ready: to_address(ready),
            root: root.clone(),
            settings: path,
            log,
            child,
        };
        relay.until_ready().await?;
        Ok(relay)
    }

    /// Tells the process that its settings file has changed (SIGHUP).
    pub fn hang_up(&self) -> io::Result<()> {
        let pid = self.child.id().ok_or_else(|| io::Error::other("the relay has ended"))?;
        let signal =
            std::process::Command::new("kill").args(["-HUP", &pid.to_string()]).status()?;
        if signal.success() { Ok(()) } else { Err(io::Error::other("kill -HUP failed")) }
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Starts a killed process again with the same settings, but for the flag of the first start.
    pub fn start_again(&mut self) -> io::Result<()> {
        let settings = fs::read_to_string(&self.settings)?.replace("--first-start\n", "");
        fs::write(&self.settings, settings)?;
        self.child = spawn(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the relay reports ready.
    pub async fn until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(15);
        let check = request("GET", "/-/readiness", &[("Host", "ready")], "");
        while Instant::now() < deadline {
            if let Ok(mut connection) = Connection::open(self.ready).await {
                let _ = connection.write(&check).await;
                if connection.read_response().await.is_ok_and(|it| it.status() == 200) {
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!("{} did not become ready", self.name)))
    }

    /// Kills the process and waits for its end.
    pub async fn close(mut self) {
        let _ = self.child.kill().await;
    }
}
