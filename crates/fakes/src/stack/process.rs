//! A child process whose listening address is read from its output.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    process::{ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::{Display, Error, From};
use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, BufReader},
    process::{Child, Command},
    sync::watch,
    task::JoinSet,
};

/// Environment variable that makes the harness print the logs of its processes to standard error.
const ECHO_LOGS_VARIABLE: &str = "YUCCATRAIL_ECHO_LOGS";
/// Time within which a process must report its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a process must exit after a request for a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a process could not be started or stopped.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A system call failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The process did not report its listening address in time, or exited first.
    #[display("{name} did not report a listening address")]
    #[from(ignore)]
    NotListening {
        /// Name of the process.
        name: String,
    },
    /// The process did not exit in time.
    #[display("{name} did not exit in time")]
    #[from(ignore)]
    NotStopped {
        /// Name of the process.
        name: String,
    },
}

/// Signals for a process; displayed as the option of the `kill` command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    #[display("-TERM")]
    Terminate,
    /// Asks for the settings to be read again.
    #[display("-HUP")]
    HangUp,
    /// Kills the process.
    #[display("-KILL")]
    Kill,
    /// Pauses the process.
    #[display("-STOP")]
    Pause,
    /// Resumes a paused process.
    #[display("-CONT")]
    Resume,
}

/// A running child process.
#[derive(Debug)]
pub struct Process {
    /// Name in error messages.
    pub name: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address of the second endpoint that the process reports, if any: of an agent the one for
    /// health and metrics, of an entry the one for its peers.
    pub admin_address: Option<SocketAddr>,
    /// Lines that the process wrote to standard output and standard error so far.
    pub log: Arc<Mutex<Vec<String>>>,
    child: Child,
    readers: JoinSet<()>,
}

impl Process {
    /// Starts a workspace binary and waits until it reports its listening address.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started or reports no address in time.
    pub async fn start(
        name: &str,
        binary: &str,
        arguments: &[String],
    ) -> Result<Self, ProcessError> {
        Self::start_with_environment(name, binary, arguments, &[]).await
    }

    /// Starts a workspace binary with further environment variables, as pairs of name and value, and waits
    /// until it reports its listening address.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started or reports no address in time.
    pub async fn start_with_environment(
        name: &str,
        binary: &str,
        arguments: &[String],
        environment: &[(&str, &str)],
    ) -> Result<Self, ProcessError> {
        let mut child = Command::new(binary_path(binary)?)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, mut receiver) = watch::channel(None);
        let mut readers = JoinSet::new();
        if let Some(output) = child.stdout.take() {
            readers.spawn(collect_output(output, log.clone(), sender.clone()));
        }
        if let Some(output) = child.stderr.take() {
            readers.spawn(collect_output(output, log.clone(), sender));
        }
        let not_listening = || ProcessError::NotListening { name: name.to_owned() };
        let waiting = receiver.wait_for(Option::is_some);
        let found =
            tokio::time::timeout(START_TIMEOUT, waiting).await.map_err(|_| not_listening())?;
        let addresses = *found.map_err(|_| not_listening())?;
        let Some((address, admin_address)) = addresses else { return Err(not_listening()) };
        Ok(Self { name: name.to_owned(), address, admin_address, log, child, readers })
    }

    /// Returns the process ID, unless the process was found to have exited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the largest amount of memory that the process has used so far, in kilobytes; none if it has
    /// exited.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the number of file descriptors that the process has open; none if it has exited.
    pub fn open_descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.id()?)).ok()?.count())
    }

    /// Sends a signal; does nothing if the process was found to have exited.
    ///
    /// # Errors
    ///
    /// Returns an error when the `kill` command cannot be run.
    pub async fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let Some(id) = self.child.id() else { return Ok(()) };
        Command::new("kill").arg(signal.to_string()).arg(id.to_string()).status().await?;
        Ok(())
    }

    /// Requests a graceful shutdown and waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not exit in time.
    pub async fn close(mut self) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::Terminate).await?;
        self.wait().await
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Kills the process; its address and log remain available.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub async fn kill_in_place(&mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has exited and all of its output was read.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not exit in time.
    pub async fn wait(&mut self) -> Result<ExitStatus, ProcessError> {
        match tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await {
            Ok(status) => {
                while self.readers.join_next().await.is_some() {}
                Ok(status?)
            }
            Err(_) => Err(ProcessError::NotStopped { name: self.name.clone() }),
        }
    }

    /// Returns the lines that the process wrote so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns the path of a workspace binary in the build directory of the running one.
pub(crate) fn binary_path(binary: &str) -> io::Result<PathBuf> {
    let mut directory = std::env::current_exe()?;
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    Ok(directory.join(binary))
}

/// Reported addresses: for requests, and of a second endpoint if there is one.
type Addresses = Option<(SocketAddr, Option<SocketAddr>)>;

/// Stores the lines of an output in the log and publishes the addresses once a line reports them.
async fn collect_output(
    output: impl AsyncRead + Unpin,
    log: Arc<Mutex<Vec<String>>>,
    found: watch::Sender<Addresses>,
) {
    let mut lines = BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let is_known = found.borrow().is_some();
        if !is_known && let Some(addresses) = parse_addresses(&line) {
            found.send_replace(Some(addresses));
        }
        if std::env::var_os(ECHO_LOGS_VARIABLE).is_some() {
            eprintln!("{line}");
        }
        log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// Parses a line in which a process reports its addresses; returns none for other lines.
fn parse_addresses(line: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
    if let Some(address) = line.strip_prefix("listening ") {
        return Some((address.trim().parse().ok()?, None));
    }
    let value: Value = serde_json::from_str(line).ok()?;
    if value["message"] != "listening" {
        return None;
    }
    let address = value["address"].as_str()?.parse().ok()?;
    let admin_address = value["admin_address"].as_str().and_then(|it| it.parse().ok());
    Some((address, admin_address))
}
