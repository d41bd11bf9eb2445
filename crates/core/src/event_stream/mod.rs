//! Cuts a relayed event stream into whole events without changing a byte.
//!
//! A relay that may continue a stream at another upstream must not pass on part of an event, since
//! the upstream repeats that event from its beginning.

use bytes::{Bytes, BytesMut};

/// Identifier of an event, which rises by one from event to event.
pub type EventId = u64;

/// Whole events that may be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as they arrived.
    pub bytes: Bytes,
    /// Identifier of the last of them; none if none of them carries one.
    pub last_id: Option<EventId>,
}

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
}

impl EventFramer {
    /// Creates a cutter that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_last_event(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(CompleteEvents { bytes, last_id })
    }

    /// Tells whether the stream has ended between two events.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns the position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if bytes[end - 1] == b'\n' && (bytes[end - 2] == b'\n' || ends_with_crlf_pair(bytes, end)) {
            return Some(end);
        }
        end -= 1;
    }
    None
}

fn ends_with_crlf_pair(bytes: &[u8], end: usize) -> bool {
    bytes[..end].ends_with(b"\n\r\n")
}

fn last_id(events: &[u8]) -> Option<EventId> {
    for line in events.split(|it| *it == b'\n').rev() {
        let Some(value) = line.strip_prefix(b"id:") else { continue };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

#[cfg(test)]
mod tests;
