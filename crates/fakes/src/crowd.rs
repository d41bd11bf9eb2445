//! Callers that send bytes of a test's choice and keep their connections open.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use log::debug;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::Instant,
};

/// Time without any byte written after which a crowd has sent what it can.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a crowd is waited for.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Callers whose connections stay open; dropping the crowd closes them.
#[derive(Debug)]
pub struct Crowd {
    members: Vec<Arc<Member>>,
    tasks: JoinSet<()>,
}

/// Progress of one caller.
#[derive(Debug, Default)]
pub struct Member {
    received: Mutex<Vec<u8>>,
    is_connected: AtomicBool,
    written_bytes: AtomicUsize,
    is_closed: AtomicBool,
}

impl Member {
    /// Returns what the caller has received so far.
    pub fn received(&self) -> String {
        String::from_utf8_lossy(&lock(&self.received)).into_owned()
    }

    /// Returns the status code of the first response; none if no response has begun.
    pub fn status(&self) -> Option<u16> {
        self.received().split(' ').nth(1)?.parse().ok()
    }

    /// Tells whether the relay has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }
}

impl Crowd {
    /// Opens a connection for each member, which sends the parts that `request` returns for its index.
    pub fn open(address: SocketAddr, count: usize, request: impl Fn(usize) -> Vec<Bytes>) -> Self {
        let mut tasks = JoinSet::new();
        let mut members = Vec::new();
        for index in 0..count {
            let member = Arc::new(Member::default());
            members.push(member.clone());
            tasks.spawn(run(address, request(index), member));
        }
        Self { members, tasks }
    }

    /// Waits until all members are connected and none makes progress with what it sends, and returns the
    /// members.
    pub async fn settle(&self) -> &[Arc<Member>] {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut before_bytes = usize::MAX;
        while Instant::now() < deadline {
            let written = self.members.iter().map(|it| it.written_bytes.load(Ordering::Relaxed));
            let written_bytes = written.sum();
            let is_open = |it: &Arc<Member>| it.is_connected.load(Ordering::Relaxed);
            let are_connected = self.members.iter().all(|it| is_open(it) || it.is_closed());
            if are_connected && written_bytes == before_bytes {
                break;
            }
            before_bytes = written_bytes;
            tokio::time::sleep(SETTLE_TIME).await;
        }
        &self.members
    }

    /// Waits until all members have a response or their connections are closed, and returns the members.
    pub async fn wait_answered(&self) -> &[Arc<Member>] {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let is_answered = |it: &Arc<Member>| it.status().is_some() || it.is_closed();
        while Instant::now() < deadline && !self.members.iter().all(is_answered) {
            tokio::time::sleep(SETTLE_TIME).await;
        }
        &self.members
    }

    /// Waits until the relay has closed all connections.
    pub async fn wait_closed(&self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline && !self.members.iter().all(|it| it.is_closed()) {
            tokio::time::sleep(SETTLE_TIME).await;
        }
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn run(address: SocketAddr, request: Vec<Bytes>, member: Arc<Member>) {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => {
            debug!(error:% = error; "member of a crowd is not connected");
            member.is_closed.store(true, Ordering::Relaxed);
            return;
        }
    };
    member.is_connected.store(true, Ordering::Relaxed);
    let (mut reader, mut writer) = stream.into_split();
    let writing = async {
        for part in request {
            if let Err(error) = writer.write_all(&part).await {
                debug!(error:% = error; "member of a crowd can't send");
                break;
            }
            member.written_bytes.fetch_add(part.len(), Ordering::Relaxed);
        }
    };
    let reading = async {
        let mut buffer = [0; 4096];
        while let Ok(read_bytes) = reader.read(&mut buffer).await {
            if read_bytes == 0 {
                break;
            }
            lock(&member.received).extend_from_slice(&buffer[..read_bytes]);
        }
        member.is_closed.store(true, Ordering::Relaxed);
    };
    tokio::join!(writing, reading);
    // The caller's own half stays open until the crowd is closed.
    std::future::pending().await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
