//! Record of the prompt prefixes that upstreams probably have in their caches.

use std::collections::VecDeque;

use crate::{FastMap, FastSet, routing::UpstreamKey};

/// Number of prefixes kept per upstream; beyond it the oldest is dropped.
const MAX_PREFIXES: usize = 4_096;

/// Change of an upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix with this hash was added.
    Stored(u64),
    /// The prefix with this hash was removed.
    Evicted(u64),
    /// All prefixes were removed.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct CachedPrefixes {
    last_sequence: Option<u64>,
    prefixes: FastSet<u64>,
    insertion_order: VecDeque<u64>,
}

/// Prefixes that each upstream probably has in its cache.
///
/// Events arrive late and with gaps, so a hint may be wrong. It may affect latency only, never
/// correctness.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    upstreams: FastMap<UpstreamKey, CachedPrefixes>,
}

impl PrefixHints {
    /// Applies an event; a gap in the sequence numbers drops all hints about the upstream, and a
    /// repeated or older event is ignored.
    pub fn on_event(&mut self, upstream: UpstreamKey, sequence: u64, event: CacheEvent) {
        let cached = self.upstreams.entry(upstream).or_default();
        if let Some(last) = cached.last_sequence {
            if sequence <= last {
                return;
            }
            if sequence > last + 1 {
                cached.clear();
            }
        }
        cached.last_sequence = Some(sequence);
        cached.apply(event);
    }

    /// Drops all hints about an upstream, for example after its restart.
    pub fn remove(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
    }

    /// Returns whether an upstream probably has a prefix in its cache.
    pub fn holds(&self, upstream: UpstreamKey, prefix: u64) -> bool {
        self.upstreams.get(&upstream).is_some_and(|it| it.prefixes.contains(&prefix))
    }
}

impl CachedPrefixes {
    fn apply(&mut self, event: CacheEvent) {
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix),
            CacheEvent::Evicted(prefix) => {
                self.prefixes.remove(&prefix);
                self.insertion_order.retain(|it| *it != prefix);
            }
            CacheEvent::Cleared => self.clear(),
        }
    }

    fn store(&mut self, prefix: u64) {
        if !self.prefixes.insert(prefix) {
            return;
        }
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    fn clear(&mut self) {
        self.prefixes.clear();
        self.insertion_order.clear();
    }
}
