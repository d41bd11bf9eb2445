//! Settings of the platform client.

use std::net::{Ipv4Addr, SocketAddr};

use hyper::header::HeaderName;

/// Settings of a [`Client`](crate::Client).
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Address of the platform's object API.
    pub address: SocketAddr,
    /// Environment whose objects are read and written; used as the namespace in all paths.
    pub environment: String,
    /// Timeout of one call, from the first byte sent to the last byte read, in milliseconds.
    pub request_timeout_ms: u64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time after which the platform should end a watch, in seconds.
    pub watch_timeout_s: u64,
    /// Rate limits of calls.
    pub budget: BudgetSettings,
    /// Response header with the number of times that the platform was restored from a copy; `None`
    /// if the platform does not state it.
    pub era_header: Option<HeaderName>,
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
            era_header: None,
        }
    }
}

/// Rate limits of the calls of one process to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Limit for reads and lists, in calls per second.
    pub reads_per_second: f64,
    /// Limit for creations, updates and deletions, in calls per second.
    pub writes_per_second: f64,
    /// Limit for opening watches and long polls, in calls per second.
    pub watches_per_second: f64,
    /// Maximum time that the rate limit may delay a call, in milliseconds; a call that would have
    /// to wait longer is refused.
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
