//! Instances of the fleet, known from the platform's lagging list and from direct contact.
//!
//! A [`Directory`] decides which upstreams may get new work. [`subset`] bounds the number of agents
//! that one entry connects to, and [`gossip_peers`] selects the peers of one round of exchange.

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

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique in the environment.
    pub name: String,
    /// What runs on the instance.
    pub role: InstanceRole,
    /// Pool that an upstream belongs to.
    #[serde(default)]
    pub pool: Option<String>,
    /// Data centre that the instance stands in.
    pub data_centre: String,
    /// Address of the system's process on the instance.
    pub address: SocketAddr,
    /// State that the platform reports, possibly late.
    pub state: InstanceState,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An entry process.
    Entry,
    /// An upstream with an agent beside it.
    Upstream,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is about to stop.
    Leaving,
}
