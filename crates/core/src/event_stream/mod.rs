//! Splits a relayed event stream (server-sent events) at event boundaries, without changing a byte.
//!
//! A relay that may resume a stream at another upstream must not forward part of an event, since that
//! upstream repeats the event from its beginning.

use bytes::{Bytes, BytesMut};

/// Identifier of an event; each event's is one higher than that of the event before it.
pub type EventId = u64;

/// Length of the longest end of an event, a line feed and an empty line with carriage return, in bytes.
const LONGEST_EVENT_END: usize = 3;

/// Complete events that may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events, byte for byte as they arrived.
    pub bytes: Bytes,
    /// Identifier of the first of them; none if it carries none.
    pub first_id: Option<EventId>,
    /// Last identifier in them; none if none of them carries one.
    pub last_id: Option<EventId>,
    /// Number of events.
    pub count: u64,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
}

impl EventFramer {
    /// Creates a framer with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes and returns the events that are complete now; none if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        // Everything before was searched when it arrived; a line end may have been split.
        let searched = self.pending.len().saturating_sub(LONGEST_EVENT_END);
        self.pending.extend_from_slice(bytes);
        let end = searched + end_of_last_event(&self.pending[searched..])?;
        let bytes = self.pending.split_to(end).freeze();
        let (first_id, last_id) = (first_id(&bytes), last_id(&bytes));
        let count = count_events(&bytes);
        Some(CompleteEvents { bytes, first_id, last_id, count })
    }

    /// Returns the size of the incomplete event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether no part of an event is buffered, so that the stream is at an event boundary.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns the position after the last empty line, which ends an event.
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

fn count_events(bytes: &[u8]) -> u64 {
    let empty_lines = bytes.split(|it| *it == b'\n').filter(|it| it.is_empty() || *it == b"\r");
    // Splitting after the last line end yields one more part, which is empty.
    (empty_lines.count() as u64).saturating_sub(1)
}

fn ends_with_crlf_pair(bytes: &[u8], end: usize) -> bool {
    bytes[..end].ends_with(b"\n\r\n")
}

fn first_id(events: &[u8]) -> Option<EventId> {
    let lines = events.split(|it| *it == b'\n');
    lines.take_while(|it| !it.is_empty() && *it != b"\r").find_map(id_in)
}

fn last_id(events: &[u8]) -> Option<EventId> {
    let line = events.split(|it| *it == b'\n').rev().find(|it| it.starts_with(b"id:"))?;
    id_in(line)
}

/// Returns the identifier in a line; none if the line is another field.
fn id_in(line: &[u8]) -> Option<EventId> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
