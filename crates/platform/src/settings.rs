//! Settings of the platform client.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a [`Client`](crate::Client).
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Address of the platform's object API.
    pub address: SocketAddr,
    /// Environment whose objects are read and written; it is the namespace in every path.
    pub environment: String,
    /// Longest time for one call, from the first byte sent to the last byte read, in milliseconds.
    pub request_timeout_ms: u64,
    /// Longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time after which the platform is asked to end a watch, in seconds.
    pub watch_timeout_s: u64,
    /// Limits on the rate of calls.
    pub budget: BudgetSettings,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8001)),
            environment: "production".to_owned(),
            request_timeout_ms: 2_000,
            connect_timeout_ms: 500,
            watch_timeout_s: 30,
            budget: BudgetSettings::default(),
        }
    }
}

/// Limits on the rate at which one process calls the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Single reads and lists, in calls per second.
    pub reads_per_second: f64,
    /// Creations, updates and deletions, in calls per second.
    pub writes_per_second: f64,
    /// Watches opened, in calls per second.
    pub watches_per_second: f64,
    /// Longest time that a call waits for its turn before it is refused, in milliseconds.
    pub max_wait_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            reads_per_second: 50.0,
            writes_per_second: 100.0,
            watches_per_second: 10.0,
            max_wait_ms: 500,
        }
    }
}
