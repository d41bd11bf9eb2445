//! The upstreams that the entry is connected to.

use std::sync::{Arc, PoisonError, RwLock};

use log::info;
use yuccatrail_core::{
    FastMap,
    ids::Incarnation,
    membership::{InstanceRecord, InstanceRole, InstanceState},
};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use crate::link::Link;

/// Links to the agents of all upstreams in the instance list, by instance name.
pub(crate) struct Fleet {
    clock: Clock,
    incarnation: Incarnation,
    control: Arc<SharedControl>,
    links: RwLock<FastMap<String, Arc<Link>>>,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub(crate) fn new(clock: Clock, incarnation: Incarnation, control: Arc<SharedControl>) -> Self {
        Self { clock, incarnation, control, links: RwLock::default() }
    }

    /// Opens and closes links so that they match the instance list.
    pub(crate) fn apply(&self, instances: &[InstanceRecord]) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, link| {
            let kept = instances.contains(&link.instance);
            if !kept {
                info!(upstream:% = link.instance.name; "upstream left the instance list");
                link.close();
            }
            kept
        });
        for instance in instances {
            if instance.role != InstanceRole::Upstream || links.contains_key(&instance.name) {
                continue;
            }
            let link =
                Link::open(instance.clone(), self.clock, self.incarnation, self.control.clone());
            links.insert(instance.name.clone(), link);
        }
    }

    /// Returns the links of a pool's live upstreams, ordered by name.
    pub(crate) fn pool(&self, pool: &str) -> Vec<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut found = Vec::new();
        for link in links.values() {
            if link.instance.pool.as_deref() != Some(pool) {
                continue;
            }
            if link.instance.state == InstanceState::Leaving {
                continue;
            }
            found.push(link.clone());
        }
        found.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        found
    }

    /// Returns all links, ordered by name.
    pub(crate) fn all(&self) -> Vec<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<Arc<Link>> = links.values().cloned().collect();
        found.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        found
    }
}
