//! Loopback proxy whose connections can be delayed, reset, silenced or cut one way.

#[cfg(test)]
mod tests;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
};

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass after this time, in milliseconds.
    Delayed(u64),
    /// Connections stay open and nothing passes.
    Silent,
    /// Only bytes from the target pass.
    NoneToTarget,
    /// Only bytes to the target pass.
    NoneFromTarget,
    /// Connections are reset, new ones too.
    Reset,
}

/// A way through which processes reach a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    cuts: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
    accepting: JoinSet<()>,
}

/// Counts a connection for as long as it is open.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Link {
    /// Opens a link to a target.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, cuts) = (watch::Sender::new(LinkState::Open), watch::Sender::new(0));
        let open = Arc::new(AtomicUsize::new(0));
        let mut accepting = JoinSet::new();
        accepting.spawn(accept(listener, target, state.clone(), cuts.clone(), open.clone()));
        Ok(Self { address, state, cuts, open, accepting })
    }

    /// Returns the address that stands for the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Sets the state from now on; connections that lost bytes are reset.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Closes every open connection; new ones are accepted.
    pub fn cut(&self) {
        self.cuts.send_modify(|it| *it += 1);
    }

    /// Closes every connection and stops to listen.
    pub fn close(self) {
        drop(self.accepting);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<LinkState>,
    cuts: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (state, mut cut, open) = (state.subscribe(), cuts.subscribe(), open.clone());
        connections.spawn(async move {
            tokio::select! {
                // Both sides end connections as they like; what they lose is for the tests to see.
                _ = pass(stream, target, state, open) => {}
                _ = cut.changed() => {}
            }
        });
    }
}

async fn pass(
    stream: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    open: Arc<AtomicUsize>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if *state.borrow() == LinkState::Reset {
        return stream.set_zero_linger();
    }
    let other = TcpStream::connect(target).await?;
    other.set_nodelay(true)?;
    open.fetch_add(1, Ordering::SeqCst);
    let _counted = Counted(open);
    let (to_target, from_target) = (state.clone(), state.clone());
    let (mut reader, mut writer) = stream.into_split();
    let (mut other_reader, mut other_writer) = other.into_split();
    {
        let forth = copy(&mut reader, &mut other_writer, to_target, LinkState::NoneToTarget);
        let back = copy(&mut other_reader, &mut writer, from_target, LinkState::NoneFromTarget);
        let both = async { tokio::try_join!(forth, back) };
        tokio::select! {
            ended = both => {
                if ended.is_ok() {
                    return Ok(());
                }
            }
            _ = state.wait_for(|it| *it == LinkState::Reset) => {}
        }
    }
    reader.as_ref().set_zero_linger()?;
    other_reader.as_ref().set_zero_linger()
}

/// Passes bytes on in one direction; `closed` is the state in which none pass in this direction.
async fn copy(
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    closed: LinkState,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut buffer).await?;
        let now = *state.borrow_and_update();
        if now == LinkState::Silent || now == closed {
            // Bytes, or the connection's end, are lost, so nothing may pass here any more. The wait fails
            // where the link is closed, which ends the connection too.
            let _ = state.wait_for(|it| *it != now).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if read == 0 {
            return writer.shutdown().await;
        }
        if let LinkState::Delayed(delay_ms) = now {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        writer.write_all(&buffer[..read]).await?;
    }
}
