//! TCP proxy that counts the traffic of a process.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::sync::CancellationToken;

/// Size of the read buffer in bytes.
const BUFFER_BYTES: usize = 256 * 1024;
/// Bytes of the IP and TCP headers of a packet, with TCP timestamps.
pub const PACKET_HEADER_BYTES: u64 = 52;
/// Maximum TCP payload of a packet on Ethernet, in bytes.
pub const PACKET_PAYLOAD_BYTES: u64 = 1448;

/// Traffic in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Payload bytes to the process.
    pub inbound_bytes: u64,
    /// Payload bytes from the process.
    pub outbound_bytes: u64,
    /// Reads of data for the process: one per message, unless messages that follow closely are read
    /// together.
    pub inbound_messages: u64,
    /// Reads of data from the process, counted in the same way.
    pub outbound_messages: u64,
}

#[derive(Debug, Default)]
struct Counters {
    inbound_bytes: AtomicU64,
    outbound_bytes: AtomicU64,
    inbound_messages: AtomicU64,
    outbound_messages: AtomicU64,
}

/// A proxy on a loopback port in front of a process.
#[derive(Debug)]
pub struct CountingProxy {
    /// Address to connect to in place of the process.
    pub address: SocketAddr,
    counters: Arc<Counters>,
    stop: CancellationToken,
}

impl CountingProxy {
    /// Opens a loopback port and forwards its connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be opened.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, target, counters.clone(), stop.clone()));
        Ok(Self { address, counters, stop })
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            inbound_bytes: self.counters.inbound_bytes.load(Ordering::Relaxed),
            outbound_bytes: self.counters.outbound_bytes.load(Ordering::Relaxed),
            inbound_messages: self.counters.inbound_messages.load(Ordering::Relaxed),
            outbound_messages: self.counters.outbound_messages.load(Ordering::Relaxed),
        }
    }

    /// Closes the port and its connections.
    pub fn close(self) {
        self.stop.cancel();
    }
}

impl Traffic {
    /// Returns the traffic since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            inbound_bytes: self.inbound_bytes - earlier.inbound_bytes,
            outbound_bytes: self.outbound_bytes - earlier.outbound_bytes,
            inbound_messages: self.inbound_messages - earlier.inbound_messages,
            outbound_messages: self.outbound_messages - earlier.outbound_messages,
        }
    }

    /// Returns the sum with the traffic of another proxy.
    pub fn plus(self, other: Self) -> Self {
        Self {
            inbound_bytes: self.inbound_bytes + other.inbound_bytes,
            outbound_bytes: self.outbound_bytes + other.outbound_bytes,
            inbound_messages: self.inbound_messages + other.inbound_messages,
            outbound_messages: self.outbound_messages + other.outbound_messages,
        }
    }

    /// Returns the payload bytes of both directions.
    pub fn payload_bytes(self) -> u64 {
        self.inbound_bytes + self.outbound_bytes
    }

    /// Estimates the bytes of both directions including TCP and IP headers.
    ///
    /// Each message takes at least one packet. For each message to the process, one more packet
    /// carries only the acknowledgement of the reply.
    pub fn wire_bytes(self) -> u64 {
        let packets =
            |bytes: u64, messages: u64| messages.max(bytes.div_ceil(PACKET_PAYLOAD_BYTES));
        let data = packets(self.inbound_bytes, self.inbound_messages)
            + packets(self.outbound_bytes, self.outbound_messages);
        self.payload_bytes() + (data + self.inbound_messages) * PACKET_HEADER_BYTES
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    counters: Arc<Counters>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (counters, stop) = (counters.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                // Errors are ignored: the processes on both sides see the connection close.
                _ = forward(stream, target, counters) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn forward(client: TcpStream, target: SocketAddr, counters: Arc<Counters>) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let inbound = forward_counted(
        client_read,
        server_write,
        &counters.inbound_bytes,
        &counters.inbound_messages,
    );
    let outbound = forward_counted(
        server_read,
        client_write,
        &counters.outbound_bytes,
        &counters.outbound_messages,
    );
    tokio::select! {
        result = inbound => result,
        result = outbound => result,
    }
}

async fn forward_counted(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: &AtomicU64,
    messages: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        messages.fetch_add(1, Ordering::Relaxed);
        to.write_all(&buffer[..count]).await?;
    }
}
