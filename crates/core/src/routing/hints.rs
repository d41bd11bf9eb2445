//! Hints about the prompt prefixes that upstreams have in their caches.

use std::collections::VecDeque;

use crate::{FastMap, FastSet, routing::UpstreamKey};

/// Prefixes that are remembered per upstream.
const MAX_PREFIXES: usize = 4_096;

/// Change of an upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix with this hash was added.
    Stored(u64),
    /// The prefix with this hash was removed.
    Evicted(u64),
    /// The whole cache was emptied.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct Known {
    last_sequence: Option<u64>,
    prefixes: FastSet<u64>,
    order: VecDeque<u64>,
}

/// Prefixes that each upstream is believed to hold.
///
/// Events arrive late and with gaps, so a hint may be wrong; it never decides correctness.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    upstreams: FastMap<UpstreamKey, Known>,
}

impl PrefixHints {
    /// Takes an event; a gap in the sequence numbers voids what was known of the upstream.
    pub fn on_event(&mut self, upstream: UpstreamKey, sequence: u64, event: CacheEvent) {
        let known = self.upstreams.entry(upstream).or_default();
        if let Some(last) = known.last_sequence {
            if sequence <= last {
                return;
            }
            if sequence > last + 1 {
                known.clear();
            }
        }
        known.last_sequence = Some(sequence);
        known.apply(event);
    }

    /// Forgets an upstream, for example when it was restarted.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
    }

    /// Tells whether an upstream is believed to hold a prefix.
    pub fn holds(&self, upstream: UpstreamKey, prefix: u64) -> bool {
        self.upstreams.get(&upstream).is_some_and(|it| it.prefixes.contains(&prefix))
    }
}

impl Known {
    fn apply(&mut self, event: CacheEvent) {
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix),
            CacheEvent::Evicted(prefix) => {
                self.prefixes.remove(&prefix);
                self.order.retain(|it| *it != prefix);
            }
            CacheEvent::Cleared => self.clear(),
        }
    }

    fn store(&mut self, prefix: u64) {
        if !self.prefixes.insert(prefix) {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    fn clear(&mut self) {
        self.prefixes.clear();
        self.order.clear();
    }
}
