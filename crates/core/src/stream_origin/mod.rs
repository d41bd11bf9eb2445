//! Where streams began, so that each goes on only at the software version that began it.
//!
//! A caller takes a broken stream up at any entry. Each entry therefore tells a few others, the registrars,
//! which streams it has begun, and an entry that does not know a stream asks them. What an entry tells
//! is proportional to its own streams, however many entries there are.

mod prompt_holders;

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{FastMap, ids::Digest};

pub use prompt_holders::PromptHolders;

/// Time after which no caller takes up a stream any more, in milliseconds; longer than the deadlines of
/// the users' callers.
pub const STREAM_LIFETIME_MS: u64 = 30_000;
/// Largest number of streams that are remembered; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 100_000;
/// Largest number of streams in one message to a registrar; the next message carries the others.
const MAX_STREAMS_SENT: usize = 500;

/// Identifies a stream over the attempts of its caller: digest of the identifier of the attempt that
/// brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt with this identifier began.
    pub fn of(request_id: &str) -> Self {
        Self(Digest::of(request_id.as_bytes()).prefix())
    }
}

/// Service and software version of the upstream that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
}

/// Streams that have begun at the same service and version, as told to registrars.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// Where they began.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

new_key_type! {
    struct OriginKey;
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    stream: StreamKey,
    recorded_ms: u64,
    /// Position among the streams of this entry; none if another one told of it.
    own_position: Option<u64>,
}

/// Origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: SlotMap<OriginKey, StreamOrigin>,
    /// Origin of each stream, and the time at which it was recorded last, in milliseconds.
    by_stream: FastMap<StreamKey, (OriginKey, u64)>,
    /// All streams in the order in which they were recorded.
    recorded: VecDeque<KnownStream>,
    /// Number of streams that this entry has begun.
    own_streams: u64,
}

impl StreamOrigins {
    /// Records that an upstream has begun a stream for this entry, or has continued it.
    pub fn record(&mut self, stream: StreamKey, origin: &StreamOrigin, now_ms: u64) {
        self.own_streams += 1;
        let own_position = Some(self.own_streams);
        self.insert(KnownStream { stream, recorded_ms: now_ms, own_position }, origin);
    }

    /// Records the streams that another entry has told of.
    pub fn merge(&mut self, begun: &[BegunStreams], now_ms: u64) {
        for BegunStreams { origin, streams } in begun {
            for stream in streams.iter().copied() {
                if self.by_stream.contains_key(&stream) {
                    continue;
                }
                let known = KnownStream { stream, recorded_ms: now_ms, own_position: None };
                self.insert(known, origin);
            }
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn origin_of(&self, stream: StreamKey) -> Option<&StreamOrigin> {
        let (origin, _) = self.by_stream.get(&stream)?;
        self.origins.get(*origin)
    }

    /// Returns streams that this entry has begun after the position `told` and the position up to which
    /// these reach; 0 is before all of them.
    pub fn begun_after(&self, told: u64) -> (Vec<BegunStreams>, u64) {
        if told == self.own_streams {
            return (Vec::new(), told);
        }
        let mut groups: FastMap<OriginKey, Vec<StreamKey>> = FastMap::default();
        let mut position = told;
        let newer = self.recorded.iter().rev().take_while(|it| {
            // Streams of other entries lie between the own ones.
            it.own_position.is_none_or(|it| it > told)
        });
        let mut newer: Vec<(u64, StreamKey)> =
            newer.filter_map(|it| Some((it.own_position?, it.stream))).collect();
        newer.reverse();
        for (own_position, stream) in newer.into_iter().take(MAX_STREAMS_SENT) {
            position = own_position;
            if let Some((origin, _)) = self.by_stream.get(&stream) {
                groups.entry(*origin).or_default().push(stream);
            }
        }
        let mut begun = Vec::with_capacity(groups.len());
        for (key, streams) in groups {
            let Some(origin) = self.origins.get(key).cloned() else { continue };
            begun.push(BegunStreams { origin, streams });
        }
        (begun, position)
    }

    /// Forgets streams that no caller takes up any more.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.recorded.front()
            && oldest.recorded_ms + STREAM_LIFETIME_MS <= now_ms
        {
            self.forget_oldest();
        }
    }

    fn insert(&mut self, known: KnownStream, origin: &StreamOrigin) {
        let interned = self.origins.iter().find(|(_, it)| *it == origin).map(|(key, _)| key);
        let key = interned.unwrap_or_else(|| self.origins.insert(origin.clone()));
        self.by_stream.insert(known.stream, (key, known.recorded_ms));
        self.recorded.push_back(known);
        if self.recorded.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.recorded.pop_front() else { return };
        // A stream that goes on is recorded again.
        let recorded = self.by_stream.get(&oldest.stream);
        if recorded.is_some_and(|(_, recorded_ms)| *recorded_ms == oldest.recorded_ms) {
            self.by_stream.remove(&oldest.stream);
        }
    }
}

#[cfg(test)]
mod tests;
