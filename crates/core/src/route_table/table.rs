//! Index of one configuration by host, path and key.

use std::sync::Arc;

use derive_more::Display;

use crate::{
    FastMap,
    route_table::{CallerLimits, Configuration, Route, Service, Target},
};

/// Why the configuration does not allow a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Denial {
    /// No route covers the host and the path.
    NoRoute,
    /// The route needs a key and the request carries none, or one that no customer holds.
    UnknownKey,
}

/// Route and customer of an allowed request.
#[derive(Clone, Debug)]
pub struct AuthorizedRequest {
    /// Route that covers the request.
    pub route: Arc<Route>,
    /// Customer that holds the request's key; none on an anonymous route without a key.
    pub customer: Option<Arc<str>>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct KeyOwner {
    customer: Arc<str>,
    priority: Option<u8>,
}

/// Index of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    /// Routes of each host, longest prefix first.
    hosts: FastMap<String, Vec<Arc<Route>>>,
    key_owners: FastMap<String, KeyOwner>,
    services: FastMap<Arc<str>, Arc<Service>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut table = Self::default();
        for service in &configuration.services {
            table.services.insert(service.name.clone(), Arc::new(service.clone()));
        }
        for customer in &configuration.customers {
            for key in &customer.keys {
                let owner =
                    KeyOwner { customer: customer.name.clone(), priority: customer.priority };
                table.key_owners.insert(key.clone(), owner);
            }
        }
        for route in &configuration.routes {
            let routes = table.hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        table.configuration = Arc::new(configuration);
        table
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration in full.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns what a caller may send.
    pub fn limits(&self) -> CallerLimits {
        self.configuration.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Finds the route and the customer of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not allowed.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AuthorizedRequest, Denial> {
        let route = self.find(host, path).ok_or(Denial::NoRoute)?;
        let owner = key.and_then(|it| self.key_owners.get(it));
        let needs_key = !self.configuration.customers.is_empty() && !route.allows_anonymous;
        if owner.is_none() && needs_key {
            return Err(Denial::UnknownKey);
        }
        let priority = owner.and_then(|it| it.priority).unwrap_or(route.priority);
        let customer = owner.map(|it| it.customer.clone());
        Ok(AuthorizedRequest { route: route.clone(), customer, priority })
    }

    fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_without_port(host).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|it| path.starts_with(&it.path_prefix))
    }
}

impl Route {
    /// Chooses the service for one request by `draw`, a random number from 0 up to 1.
    pub fn select_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut rest = draw * total;
        for Target { service, weight } in &self.targets {
            rest -= weight;
            if rest < 0.0 {
                return Some(service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}

fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}
