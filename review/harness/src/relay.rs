//! Processes of the project, started with the command of the deploy file and its rendered template.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::{call, request};

/// Where the processes are started and what they share.
#[derive(Clone)]
pub struct Deployment {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub platform: SocketAddr,
    pub grace_period_s: u64,
}

/// A relay process and its addresses.
pub struct Relay {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    process: Option<Child>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Deployment {
    /// Starts a relay and waits until it is ready.
    pub fn start(&self, name: &str, zone: &str) -> io::Result<Relay> {
        let mut relay = Relay {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address()?,
            ready: free_address()?,
            peers: free_address()?,
            metrics: free_address()?,
            process: None,
        };
        self.run(&mut relay, true)?;
        relay.wait_ready(Duration::from_secs(15))?;
        Ok(relay)
    }

    /// Starts the process of a relay, again under the same name and addresses if it has ended.
    pub fn run(&self, relay: &mut Relay, is_first_start: bool) -> io::Result<()> {
        let template = fs::read_to_string(self.root.join("deploy/settings.template"))?;
        let values = [
            ("{{nodeName}}", relay.name.clone()),
            ("{{zone}}", relay.zone.clone()),
            ("{{listenAddresses.front}}", relay.callers.to_string()),
            ("{{listenAddresses.ready}}", relay.ready.to_string()),
            ("{{ipAddress}}:{{internalPortRange.0}}", relay.peers.to_string()),
            ("{{ipAddress}}:9464", relay.metrics.to_string()),
            ("{{platform.address}}", self.platform.to_string()),
            ("{{limits.cpuShare}}", "0.19".to_owned()),
            ("{{bounds.gracePeriodS}}", self.grace_period_s.to_string()),
            ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
            ("{{bounds.retryBudgetSlack}}", "52".to_owned()),
            ("{{bounds.budgetWindowS}}", "10".to_owned()),
        ];
        let mut settings = String::new();
        for line in template.lines() {
            let mut line = line.to_owned();
            for (placeholder, value) in &values {
                line = line.replace(placeholder, value);
            }
            // Sections are rendered only where the value is present.
            if let Some(flag) = line.strip_prefix("{{#firstStart}}") {
                let flag = flag.trim_end_matches("{{/firstStart}}");
                line = if is_first_start { flag.to_owned() } else { String::new() };
            }
            if !line.contains("{{") {
                settings.push_str(&line);
                settings.push('\n');
            }
        }
        let path = self.folder.join(format!("{}.conf", relay.name));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{}.log", relay.name));
        let log = File::options().create(true).append(true).open(log)?;
        let process = Command::new("target/release/yuccatrail")
            .arg("relay")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("YUCCATRAIL_SETTINGS", path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        relay.process = Some(process);
        Ok(())
    }

    /// Returns the lines of a relay's log that contain a text.
    pub fn log_lines(&self, relay: &Relay, text: &str) -> Vec<String> {
        let log = fs::read(self.folder.join(format!("{}.log", relay.name))).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

impl Relay {
    /// Asks the relay whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let question = request("GET", "/-/readiness", &[("host", "ready")], b"");
        call(self.ready, &question, Duration::from_secs(1)).is_ok_and(|it| it.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} did not become ready", self.name)))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Sends the signal with a name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let Some(process) = &self.process else { return Ok(()) };
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(process.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Returns the identifier of the process; 0 if it has ended.
    pub fn process_id(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => process.try_wait().is_ok_and(|it| it.is_some()),
            None => true,
        }
    }

    /// Waits until the process ends; kills it after the limit, as the platform does.
    pub fn wait_end(&mut self, limit: Duration) -> Duration {
        let begun = Instant::now();
        while !self.has_ended() && begun.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(10));
        }
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        begun.elapsed()
    }
}

/// Creates an empty temporary folder.
pub fn temporary_folder(case: &str) -> io::Result<PathBuf> {
    let folder =
        std::env::temp_dir().join(format!("yuccatrail-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

pub fn remove_folder(folder: &Path) {
    let _ = fs::remove_dir_all(folder);
}
