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
pub enum ProxyState {
    /// Bytes pass.
    #[default]
    Forwarding,
    /// Bytes pass after this time, in milliseconds.
    Delayed(u64),
    /// Connections stay open and nothing passes.
    Stalled,
    /// Only bytes from the target pass.
    DropToTarget,
    /// Only bytes to the target pass.
    DropFromTarget,
    /// Connections are reset, new ones too.
    Reset,
}

/// A way through which processes reach a target.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: watch::Sender<ProxyState>,
    cuts: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
    accepting: JoinSet<()>,
}

/// Counts a connection for as long as it is open.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FaultProxy {
    /// Opens a link to a target.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, cuts) = (watch::Sender::new(ProxyState::Forwarding), watch::Sender::new(0));
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
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Sets the state from now on; connections that lost bytes are reset.
    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }

    /// Closes every open connection; new ones are accepted.
    pub fn close_connections(&self) {
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
    state: watch::Sender<ProxyState>,
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
                _ = forward_connection(stream, target, state, open) => {}
                _ = cut.changed() => {}
            }
        });
    }
}

async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<ProxyState>,
    open: Arc<AtomicUsize>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    if *state.borrow() == ProxyState::Reset {
        return stream.set_zero_linger();
    }
    let other = TcpStream::connect(target).await?;
    other.set_nodelay(true)?;
    open.fetch_add(1, Ordering::SeqCst);
    let _open_connection = OpenConnection(open);
    let (to_target, from_target) = (state.clone(), state.clone());
    let (mut reader, mut writer) = stream.into_split();
    let (mut other_reader, mut other_writer) = other.into_split();
    {
        let to_target_copy =
            forward_bytes(&mut reader, &mut other_writer, to_target, ProxyState::DropToTarget);
        let from_target_copy =
            forward_bytes(&mut other_reader, &mut writer, from_target, ProxyState::DropFromTarget);
        let both = async { tokio::try_join!(to_target_copy, from_target_copy) };
        tokio::select! {
            ended = both => {
                if ended.is_ok() {
                    return Ok(());
                }
            }
            _ = state.wait_for(|it| *it == ProxyState::Reset) => {}
        }
    }
    reader.as_ref().set_zero_linger()?;
    other_reader.as_ref().set_zero_linger()
}

/// Passes bytes on in one direction; `closed` is the state in which none pass in this direction.
async fn forward_bytes(
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
    dropping: ProxyState,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut buffer).await?;
        let current = *state.borrow_and_update();
        if current == ProxyState::Stalled || current == dropping {
            // Bytes, or the connection's end, are lost, so nothing may pass here any more. The wait fails
            // where the link is closed, which ends the connection too.
            let _ = state.wait_for(|it| *it != current).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if read == 0 {
            return writer.shutdown().await;
        }
        if let ProxyState::Delayed(delay_ms) = current {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        writer.write_all(&buffer[..read]).await?;
    }
}
