//! Instances of the fleet, known from the platform's instance list, which lags, and from reports of
//! their agents.
//!
//! A [`Directory`] decides which upstreams are eligible for new work. [`subset`] bounds the number
//! of agents that one entry connects to, and [`gossip_peers`] selects the peers for one gossip
//! round.

mod assignment;
mod directory;
mod sabotage;
mod upstream;

#[cfg(test)]
mod tests;

pub use assignment::{SubsetSizes, gossip_peers, subset};
pub use directory::{Directory, InstanceList, UpstreamKey};
pub use sabotage::Sabotage;
pub use upstream::{AgentReport, Upstream};

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Record of one instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique within the environment.
    pub name: String,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Pool that an upstream belongs to.
    #[serde(default)]
    pub pool: Option<String>,
    /// Data centre in which the instance runs.
    pub data_centre: String,
    /// Address of the entry or agent process on the instance.
    pub address: SocketAddr,
    /// State reported by the platform, possibly outdated.
    pub state: InstanceState,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Runs an entry process.
    Entry,
    /// Runs an upstream and its agent.
    Upstream,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is about to shut down.
    Leaving,
}
