//! Difference between two configurations.
//!
//! Load that this answers: thousands of routes of which a version changes few. An entry that has an
//! earlier version needs only what has changed since, so that a transfer neither fills a slow link nor
//! keeps a weak processor busy.

use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::{
    FastMap,
    route_table::{CallerLimits, Configuration, CustomerKeys, Route, Service},
};

/// Identifies the content of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigurationId {
    /// Version number.
    pub version: u64,
    /// Hash of the routes; another one under the same version number shows that a platform that was
    /// restored from a copy has assigned the number again.
    pub fingerprint: u64,
}

/// Consecutive routes of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteRun {
    /// Routes that the earlier configuration has too.
    Kept {
        /// Position of the first of them in the earlier configuration.
        first: usize,
        /// Number of routes.
        count: usize,
    },
    /// Routes that the earlier configuration lacks.
    Added(Vec<Arc<Route>>),
}

/// What turns one configuration into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The earlier configuration; none if the change contains everything.
    pub base: Option<ConfigurationId>,
    /// Version number of the later one.
    pub version: u64,
    /// All routes, in their order.
    pub routes: Vec<RouteRun>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// All customers.
    pub customers: Vec<CustomerKeys>,
}

impl Configuration {
    /// Returns the identifier of the content.
    pub fn id(&self) -> ConfigurationId {
        let mut hasher = FxHasher::default();
        for route in &self.routes {
            route.hash(&mut hasher);
        }
        ConfigurationId { version: self.version, fingerprint: hasher.finish() }
    }
}

impl ConfigurationChange {
    /// Returns the change from `base`, or from nothing, to `target`.
    pub fn between(
        base: Option<(ConfigurationId, &Configuration)>,
        target: &Configuration,
    ) -> Self {
        let base_routes = base.map_or(&[][..], |(_, it)| it.routes.as_slice());
        let mut positions: FastMap<(&str, &str), usize> = FastMap::default();
        for (position, route) in base_routes.iter().enumerate() {
            positions.insert((&route.host, &route.path_prefix), position);
        }
        let mut routes: Vec<RouteRun> = Vec::new();
        for route in &target.routes {
            let position = positions.get(&(route.host.as_str(), route.path_prefix.as_str()));
            let position = position.copied().filter(|it| base_routes[*it] == *route);
            match (position, routes.last_mut()) {
                (Some(position), Some(RouteRun::Kept { first, count }))
                    if *first + *count == position =>
                {
                    *count += 1;
                }
                (Some(first), _) => routes.push(RouteRun::Kept { first, count: 1 }),
                (None, Some(RouteRun::Added(added))) => added.push(route.clone()),
                (None, _) => routes.push(RouteRun::Added(vec![route.clone()])),
            }
        }
        Self {
            base: base.map(|(id, _)| id),
            version: target.version,
            routes,
            services: target.services.clone(),
            limits: target.limits,
            customers: target.customers.clone(),
        }
    }

    /// Returns the later configuration; none if `base` is not the earlier one.
    pub fn apply(self, base: Option<(ConfigurationId, &Configuration)>) -> Option<Configuration> {
        let base_routes = match (self.base, base) {
            (None, _) => &[][..],
            (Some(needed), Some((id, base))) if needed == id => base.routes.as_slice(),
            (Some(_), _) => return None,
        };
        let mut routes = Vec::new();
        for run in self.routes {
            match run {
                RouteRun::Kept { first, count } => {
                    routes.extend_from_slice(base_routes.get(first..first.checked_add(count)?)?);
                }
                RouteRun::Added(added) => routes.extend(added),
            }
        }
        Some(Configuration {
            version: self.version,
            routes,
            services: self.services,
            limits: self.limits,
            customers: self.customers,
        })
    }
}

#[cfg(test)]
mod tests;
