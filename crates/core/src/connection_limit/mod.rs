//! Limit on the connections of callers, so that descriptors are left for upstreams, peers and the platform.
//!
//! The load that this answers: more connections than the process can hold, most of which carry no request. A
//! new connection replaces the one that has waited longest for its next request, so that callers that send
//! requests get in however many connections others hold.

use slotmap::SlotMap;

/// The limit is divided by this to get the number by which connections that are not closed yet, although
/// others were opened for them, may exceed it.
const CLOSING_DIVISOR: usize = 4;

slotmap::new_key_type! {
    /// Identifies a connection of a caller.
    pub struct ConnectionKey;
}

/// Whether a new connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken, and replaces another one if the limit is reached.
    Admitted {
        /// The new connection.
        key: ConnectionKey,
        /// The connection to close.
        replaced: Option<ConnectionKey>,
    },
    /// The limit is reached, and all connections carry a request.
    Full,
}

/// Whether a connection can be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It can.
    Free,
    /// It can soon.
    Pending {
        /// The connection to close.
        replaced: Option<ConnectionKey>,
    },
    /// The limit is reached, and all connections carry a request.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Waits for a request, since the given time in milliseconds.
    Waiting(u64),
    /// A request is in progress.
    Serving,
    /// Was replaced and is about to be closed.
    Closing,
}

/// The connections of callers.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    max_connections: usize,
    closing: usize,
    connections: SlotMap<ConnectionKey, ConnectionState>,
}

impl ConnectionLimit {
    /// Creates the limit.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, closing: 0, connections: SlotMap::with_key() }
    }

    /// Returns the number of connections, including those that are about to be closed.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Makes room if no connection can be opened, not even beyond the limit; `end_request` is as for
    /// [`open`](Self::open).
    pub fn make_room(&mut self, end_request: impl FnOnce() -> bool) -> Room {
        if self.connections.len() < self.most_open() {
            return Room::Free;
        }
        if self.closing > 0 {
            return Room::Pending { replaced: None };
        }
        match self.replace_longest_waiting() {
            Some(key) => Room::Pending { replaced: Some(key) },
            None if end_request() => Room::Pending { replaced: None },
            None => Room::None,
        }
    }

    /// Opens a connection, if there is room or another one can be replaced. If all carry a request,
    /// `end_request` is called to end one of them early and tells whether it could.
    pub fn open(&mut self, now_ms: u64, end_request: impl FnOnce() -> bool) -> Admission {
        if self.connections.len() >= self.most_open() {
            return Admission::Full;
        }
        let mut replaced = None;
        if self.connections.len() - self.closing >= self.max_connections {
            replaced = self.replace_longest_waiting();
            if replaced.is_none() && !end_request() {
                return Admission::Full;
            }
        }
        let key = self.connections.insert(ConnectionState::Waiting(now_ms));
        Admission::Admitted { key, replaced }
    }

    /// Records that a request has begun; one on a connection that was about to be closed is served first.
    pub fn begin_request(&mut self, key: ConnectionKey) {
        self.change(key, ConnectionState::Serving);
    }

    /// Records that a connection waits for its next request.
    pub fn end_request(&mut self, key: ConnectionKey, now_ms: u64) {
        self.change(key, ConnectionState::Waiting(now_ms));
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, key: ConnectionKey) {
        if self.connections.remove(key) == Some(ConnectionState::Closing) {
            self.closing -= 1;
        }
    }

    fn most_open(&self) -> usize {
        self.max_connections + self.max_connections.div_ceil(CLOSING_DIVISOR)
    }

    fn change(&mut self, key: ConnectionKey, state: ConnectionState) {
        let Some(current) = self.connections.get_mut(key) else { return };
        if std::mem::replace(current, state) == ConnectionState::Closing {
            self.closing -= 1;
        }
    }

    fn replace_longest_waiting(&mut self) -> Option<ConnectionKey> {
        let key = self.longest_waiting()?;
        self.connections[key] = ConnectionState::Closing;
        self.closing += 1;
        Some(key)
    }

    fn longest_waiting(&self) -> Option<ConnectionKey> {
        let mut longest = None;
        for (key, state) in &self.connections {
            let ConnectionState::Waiting(since_ms) = *state else { continue };
            if longest.is_none_or(|(_, it)| since_ms < it) {
                longest = Some((key, since_ms));
            }
        }
        longest.map(|(key, _)| key)
    }
}

#[cfg(test)]
mod tests;
