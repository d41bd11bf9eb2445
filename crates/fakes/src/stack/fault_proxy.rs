//! TCP proxy on loopback that can delay, throttle, reset or stall its connections, or drop one direction.

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
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
};

/// Time for which a reset is awaited after the end of a direction.
const RESET_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the buffer for each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyState {
    /// Forwards bytes in both directions.
    #[default]
    Forwarding,
    /// Forwards bytes after a delay, in milliseconds.
    Delayed(u64),
    /// Forwards this number of bytes a second in each direction of a connection.
    Throttled(u64),
    /// Keeps connections open and forwards nothing.
    Stalled,
    /// Forwards only the bytes from the target.
    DropToTarget,
    /// Forwards only the bytes to the target.
    DropFromTarget,
    /// Resets open and new connections.
    Reset,
}

/// A proxy in front of a target address; closed when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: watch::Sender<ProxyState>,
    close_requests: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
    accepting: JoinSet<()>,
}

/// Guard that subtracts a connection from the number of open ones when it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FaultProxy {
    /// Starts a proxy on a free port in front of a target.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, close_requests) =
            (watch::Sender::new(ProxyState::Forwarding), watch::Sender::new(0));
        let open = Arc::new(AtomicUsize::new(0));
        let mut accepting = JoinSet::new();
        accepting.spawn(accept(
            listener,
            target,
            state.clone(),
            close_requests.clone(),
            open.clone(),
        ));
        Ok(Self { address, state, close_requests, open, accepting })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Sets the state; connections that have lost bytes are reset once the state changes again.
    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }

    /// Closes every open connection; new ones are still accepted.
    pub fn close_connections(&self) {
        self.close_requests.send_modify(|it| *it += 1);
    }

    /// Closes every connection and stops listening.
    pub fn close(self) {
        drop(self.accepting);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Sender<ProxyState>,
    close_requests: watch::Sender<u64>,
    open: Arc<AtomicUsize>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (state, mut close_request, open) =
            (state.subscribe(), close_requests.subscribe(), open.clone());
        connections.spawn(async move {
            tokio::select! {
                // Either side may end a connection; tests check the effect, so errors are ignored.
                _ = forward_connection(stream, target, state, open) => {}
                _ = close_request.changed() => {}
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
    let target_stream = TcpStream::connect(target).await?;
    target_stream.set_nodelay(true)?;
    open.fetch_add(1, Ordering::SeqCst);
    let _open_connection = OpenConnection(open);
    let (to_target, from_target) = (state.clone(), state.clone());
    let (mut reader, mut writer) = stream.into_split();
    let (mut target_reader, mut target_writer) = target_stream.into_split();
    {
        let to_target_copy =
            forward_bytes(&mut reader, &mut target_writer, to_target, ProxyState::DropToTarget);
        let from_target_copy =
            forward_bytes(&mut target_reader, &mut writer, from_target, ProxyState::DropFromTarget);
        let both = async { tokio::try_join!(to_target_copy, from_target_copy) };
        tokio::select! {
            result = both => {
                if result.is_ok() {
                    return Ok(());
                }
            }
            _ = state.wait_for(|it| *it == ProxyState::Reset) => {}
        }
    }
    // Dropping them would close both connections properly before the reset.
    writer.forget();
    target_writer.forget();
    reader.as_ref().set_zero_linger()?;
    target_reader.as_ref().set_zero_linger()
}

/// Fails if a peer that has closed its side resets the connection soon afterwards.
async fn wait_for_reset(reader: &OwnedReadHalf) -> io::Result<()> {
    // Without an error the connection has ended properly so far.
    let _ = tokio::time::timeout(RESET_TIMEOUT, reader.ready(Interest::ERROR)).await;
    reader.as_ref().take_error()?.map_or(Ok(()), Err)
}

/// Forwards bytes in one direction; `dropping` is the state in which this direction is dropped.
async fn forward_bytes(
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
    dropping: ProxyState,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await?;
        let current = *state.borrow_and_update();
        if current == ProxyState::Stalled || current == dropping {
            // Bytes or the end of the stream were lost, so this connection must not carry more
            // bytes. The wait fails when the proxy is closed, which ends the connection as well.
            let _ = state.wait_for(|it| *it != current).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if read == 0 {
            writer.shutdown().await?;
            return wait_for_reset(reader).await;
        }
        match current {
            ProxyState::Delayed(delay_ms) => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
            ProxyState::Throttled(bytes_per_s) => {
                let taken = Duration::from_secs_f64(read as f64 / bytes_per_s as f64);
                tokio::time::sleep(taken).await;
            }
            _ => {}
        }
        writer.write_all(&buffer[..read]).await?;
    }
}
