//! One child process whose listening address is read from its output.

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

/// Environment variable that makes the harness pass on the processes' logs.
const ECHO_VARIABLE: &str = "YUCCATRAIL_ECHO_LOGS";
/// Time in which a process has to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a planned stop has to finish.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a process could not be started or stopped.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The operating system refused.
    #[display("{_0}")]
    Io(io::Error),
    /// The process did not report an address in time.
    #[display("{name} did not start listening")]
    #[from(ignore)]
    NotListening {
        /// Name of the process.
        name: String,
    },
    /// The process did not end in time.
    #[display("{name} did not stop")]
    #[from(ignore)]
    NotStopped {
        /// Name of the process.
        name: String,
    },
}

/// Signal that can be sent to a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    #[display("-TERM")]
    Terminate,
    /// Ends the process at once.
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
    /// Name for reports.
    pub name: String,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Address of the health and metrics endpoint, if it is another.
    pub admin_address: Option<SocketAddr>,
    /// Lines that the process wrote.
    pub log: Arc<Mutex<Vec<String>>>,
    child: Child,
    readers: JoinSet<()>,
}

impl Process {
    /// Starts a workspace binary and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started or does not listen in time.
    pub async fn start(
        name: &str,
        binary: &str,
        arguments: &[String],
    ) -> Result<Self, ProcessError> {
        let mut child = Command::new(binary_path(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, mut receiver) = watch::channel(None);
        let mut readers = JoinSet::new();
        if let Some(output) = child.stdout.take() {
            readers.spawn(collect(output, log.clone(), sender.clone()));
        }
        if let Some(output) = child.stderr.take() {
            readers.spawn(collect(output, log.clone(), sender));
        }
        let not_listening = || ProcessError::NotListening { name: name.to_owned() };
        let waiting = receiver.wait_for(Option::is_some);
        let found =
            tokio::time::timeout(START_TIMEOUT, waiting).await.map_err(|_| not_listening())?;
        let addresses = *found.map_err(|_| not_listening())?;
        let Some((address, admin_address)) = addresses else { return Err(not_listening()) };
        Ok(Self { name: name.to_owned(), address, admin_address, log, child, readers })
    }

    /// Returns the operating system's id of the process, unless it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub async fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let Some(id) = self.child.id() else { return Ok(()) };
        Command::new("kill").arg(signal.to_string()).arg(id.to_string()).status().await?;
        Ok(())
    }

    /// Asks the process for a planned stop and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not end in time.
    pub async fn close(mut self) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::Terminate).await?;
        self.wait().await
    }

    /// Ends the process without warning.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be ended.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Ends the process without warning and keeps its address and log.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be ended.
    pub async fn kill_in_place(&mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process's end and the last lines that it wrote.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not end in time.
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

/// Returns the path of a workspace binary beside the running one.
pub(crate) fn binary_path(binary: &str) -> io::Result<PathBuf> {
    let mut directory = std::env::current_exe()?;
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    Ok(directory.join(binary))
}

type Addresses = Option<(SocketAddr, Option<SocketAddr>)>;

async fn collect(
    output: impl AsyncRead + Unpin,
    log: Arc<Mutex<Vec<String>>>,
    found: watch::Sender<Addresses>,
) {
    let mut lines = BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let is_known = found.borrow().is_some();
        if !is_known && let Some(addresses) = listening(&line) {
            found.send_replace(Some(addresses));
        }
        if std::env::var_os(ECHO_VARIABLE).is_some() {
            eprintln!("{line}");
        }
        log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

/// Recognizes the line in which a process reports its addresses.
fn listening(line: &str) -> Option<(SocketAddr, Option<SocketAddr>)> {
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
