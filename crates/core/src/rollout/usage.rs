//! Calls in progress and stage results by the version of the upstream that they need.

use std::{net::SocketAddr, sync::Arc};

use crate::{FastMap, upstreams::UpstreamKey};

/// Number of uses of upstreams at one service and version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Uses {
    service: Arc<str>,
    version: Arc<str>,
    count: u32,
}

/// What an entry needs upstreams for. It is counted beyond the removal of an upstream, until the call or
/// the need for the result ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    calls: FastMap<UpstreamKey, Uses>,
    results: FastMap<SocketAddr, Uses>,
}

impl Usage {
    pub(crate) fn begin_call(&mut self, key: UpstreamKey, service: &Arc<str>, version: &Arc<str>) {
        let uses = || Uses { service: service.clone(), version: version.clone(), count: 0 };
        self.calls.entry(key).or_insert_with(uses).count += 1;
    }

    /// Ends a call; returns its service and version.
    pub(crate) fn end_call(&mut self, key: UpstreamKey) -> Option<(Arc<str>, Arc<str>)> {
        let uses = self.calls.get_mut(&key)?;
        let called = (uses.service.clone(), uses.version.clone());
        uses.count -= 1;
        if uses.count == 0 {
            self.calls.remove(&key);
        }
        Some(called)
    }

    /// Counts results that the upstream at an address holds. If another version has taken over the
    /// address, the results of the former one are lost and not counted any more.
    pub(crate) fn hold_results(
        &mut self,
        address: SocketAddr,
        service: &Arc<str>,
        version: &Arc<str>,
        count: u32,
    ) {
        let new = || Uses { service: service.clone(), version: version.clone(), count: 0 };
        let uses = self.results.entry(address).or_insert_with(new);
        if uses.service != *service || uses.version != *version {
            *uses = new();
        }
        uses.count = uses.count.saturating_add(count);
    }

    pub(crate) fn release_results(&mut self, address: SocketAddr, count: u32) {
        let Some(uses) = self.results.get_mut(&address) else { return };
        uses.count = uses.count.saturating_sub(count);
        if uses.count == 0 {
            self.results.remove(&address);
        }
    }

    /// Returns the number of calls and results that need another version of a service than `to`.
    pub(crate) fn old_in_use(&self, service: &str, to: &str) -> u32 {
        let all = self.calls.values().chain(self.results.values());
        let old = all.filter(|it| it.service.as_ref() == service && it.version.as_ref() != to);
        old.map(|it| it.count).sum()
    }
}
