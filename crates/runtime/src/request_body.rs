//! Reads the bodies of callers' requests within the memory of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio_util::sync::CancellationToken;
use yuccatrail_core::{
    FastMap,
    body_memory::{BodyKey, BodyMemory, BodyMemoryError},
};

use crate::clock::Clock;

/// Memory that a body without a stated length gets first, in bytes; it doubles as the body grows.
const FIRST_BYTES: usize = 4 * 1024;

/// Why a body was not read to its end.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// It exceeds the limit for one body.
    #[display("the body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The process has no memory for it.
    #[display("{_0}")]
    NoMemory(#[error(not(source))] BodyMemoryError),
    /// The connection broke, or the body is malformed.
    #[display("{_0}")]
    Broken(hyper::Error),
}

/// The bodies that a process holds at the same time.
#[derive(Debug)]
pub struct RequestBodies {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    memory: BodyMemory,
    buffers: FastMap<BodyKey, Arc<Buffer>>,
}

/// What has arrived of one body.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Mutex<Vec<u8>>,
    evicted: CancellationToken,
}

/// A whole body, whose memory is given back when it is dropped.
#[derive(Debug, Default)]
pub struct HeldBody {
    bytes: Bytes,
    _held: Option<HeldMemory>,
}

/// What one body holds; given back when dropped.
#[derive(Debug)]
struct HeldMemory {
    bodies: Arc<RequestBodies>,
    key: BodyKey,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut state = lock(&self.bodies.state);
        state.memory.end(self.key);
        state.buffers.remove(&self.key);
    }
}

impl HeldBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl RequestBodies {
    /// Limits the bodies to a total.
    pub fn new(total_bytes: usize, clock: Clock) -> Arc<Self> {
        let memory = BodyMemory::new(total_bytes);
        Arc::new(Self { clock, state: Mutex::new(State { memory, buffers: FastMap::default() }) })
    }

    /// Returns the number of bytes that all bodies hold.
    pub fn held_bytes(&self) -> usize {
        lock(&self.state).memory.held_bytes()
    }

    /// Reads a body of a customer to its end; nothing of it is read if its stated length is over the limit
    /// or finds no memory.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read to its end.
    pub async fn read(
        self: &Arc<Self>,
        mut body: Incoming,
        limit_bytes: usize,
        customer: &str,
    ) -> Result<HeldBody, BodyError> {
        let stated_bytes = body.size_hint().exact().map(|it| it.try_into().unwrap_or(usize::MAX));
        if stated_bytes == Some(0) {
            return Ok(HeldBody::default());
        }
        if stated_bytes.is_some_and(|it| it > limit_bytes) {
            return Err(BodyError::TooLong { limit_bytes });
        }
        let (held, buffer) = self.begin(customer);
        if let Some(stated_bytes) = stated_bytes {
            held.grow(&buffer, stated_bytes)?;
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = buffer.evicted.cancelled() => {
                    return Err(BodyError::NoMemory(BodyMemoryError::Evicted));
                }
            };
            let Some(frame) = frame else { break };
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            held.append(&buffer, &data, limit_bytes)?;
        }
        lock(&self.state).memory.complete(held.key).map_err(BodyError::NoMemory)?;
        let bytes = std::mem::take(&mut *lock(&buffer.bytes)).into();
        Ok(HeldBody { bytes, _held: Some(held) })
    }

    /// Evicts the body that has stalled for the longest time; returns whether there was one.
    pub fn evict_stalled(&self) -> bool {
        let mut state = lock(&self.state);
        let Some(key) = state.memory.evict_stalled(self.clock.now_ms()) else { return false };
        state.free(key);
        true
    }

    fn begin(self: &Arc<Self>, customer: &str) -> (HeldMemory, Arc<Buffer>) {
        let buffer = Arc::new(Buffer::default());
        let mut state = lock(&self.state);
        let key = state.memory.begin(customer, self.clock.now_ms());
        state.buffers.insert(key, buffer.clone());
        (HeldMemory { bodies: self.clone(), key }, buffer)
    }
}

impl State {
    /// Frees what has arrived of an evicted body at once, and stops its reader.
    fn free(&mut self, key: BodyKey) {
        let Some(buffer) = self.buffers.remove(&key) else { return };
        buffer.evicted.cancel();
        *lock(&buffer.bytes) = Vec::new();
    }
}

impl HeldMemory {
    /// Makes room for a number of bytes in all.
    fn grow(&self, buffer: &Buffer, bytes: usize) -> Result<(), BodyError> {
        let mut state = lock(&self.bodies.state);
        let now_ms = self.bodies.clock.now_ms();
        let evicted = state.memory.hold(self.key, bytes, now_ms).map_err(BodyError::NoMemory)?;
        for key in evicted {
            state.free(key);
        }
        let mut held = lock(&buffer.bytes);
        let missing_bytes = bytes.saturating_sub(held.len());
        held.reserve_exact(missing_bytes);
        Ok(())
    }

    /// Appends what has arrived.
    fn append(&self, buffer: &Buffer, data: &[u8], limit_bytes: usize) -> Result<(), BodyError> {
        let (read_bytes, capacity_bytes) = {
            let held = lock(&buffer.bytes);
            (held.len() + data.len(), held.capacity())
        };
        if read_bytes > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        if read_bytes > capacity_bytes {
            let next_bytes = read_bytes.next_power_of_two().max(FIRST_BYTES);
            self.grow(buffer, next_bytes.min(limit_bytes))?;
        }
        let mut state = lock(&self.bodies.state);
        if buffer.evicted.is_cancelled() {
            return Err(BodyError::NoMemory(BodyMemoryError::Evicted));
        }
        state.memory.record_received(self.key, read_bytes, self.bodies.clock.now_ms());
        lock(&buffer.bytes).extend_from_slice(data);
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
