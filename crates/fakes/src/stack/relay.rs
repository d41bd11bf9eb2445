//! A relay between processes, whose connections a test can cut.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Passes bytes between the processes that connect to it and a target.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    cuts: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
    accept: JoinHandle<()>,
}

impl Relay {
    /// Starts to pass connections on to a target.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cuts = watch::Sender::new(0);
        let open = Arc::new(AtomicUsize::new(0));
        let accept = tokio::spawn(accept(listener, target, cuts.clone(), open.clone()));
        Ok(Self { address, cuts, open, accept })
    }

    /// Returns the address that stands for the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Cuts every open connection; new ones are accepted.
    pub fn cut(&self) {
        self.cuts.send_modify(|it| *it += 1);
    }

    /// Cuts every connection and stops to listen.
    pub fn close(self) {
        self.cut();
        self.accept.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    cuts: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(pass(stream, target, cuts.subscribe(), open.clone()));
    }
}

async fn pass(
    mut stream: TcpStream,
    target: SocketAddr,
    mut cut: watch::Receiver<u64>,
    open: Arc<AtomicUsize>,
) {
    let Ok(mut agent) = TcpStream::connect(target).await else { return };
    // Small messages would otherwise wait for each other.
    if stream.set_nodelay(true).is_err() || agent.set_nodelay(true).is_err() {
        return;
    }
    open.fetch_add(1, Ordering::SeqCst);
    tokio::select! {
        // Either side closes connections as it likes.
        _ = copy_bidirectional(&mut stream, &mut agent) => {}
        _ = cut.changed() => {}
    }
    open.fetch_sub(1, Ordering::SeqCst);
}
