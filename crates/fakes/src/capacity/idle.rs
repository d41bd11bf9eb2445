//! Cost of the connections while there are no requests.

use std::time::Duration;

use super::{slope::Slope, test_cluster::TestCluster};
use crate::stack::{plan::DEMO_DOCUMENT, run::StackError};

/// Numbers of agents connected to one entry.
const AGENT_COUNTS: [usize; 4] = [1, 10, 30, 60];
/// Numbers of entries connected to each agent.
const ENTRY_COUNTS: [usize; 4] = [1, 2, 4, 8];
/// Number of agents while the number of entries varies.
const AGENT_COUNT: usize = 5;
/// Duration of each measurement, in seconds.
const MEASUREMENT_SECONDS: f64 = 5.0;

/// Measures the idle cost of one entry by number of connected agents.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_agents() -> Result<[Slope; 3], StackError> {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut bytes = Vec::new();
    for agents in AGENT_COUNTS {
        let cluster = TestCluster::start(DEMO_DOCUMENT, agents, 1).await?;
        let usage = cluster.measure_for(Duration::from_secs_f64(MEASUREMENT_SECONDS)).await?;
        cluster.close().await?;
        let size = agents as f64;
        cpu.push((size, usage.entries.cpu_us as f64 / MEASUREMENT_SECONDS));
        memory.push((size, usage.entries.resident_bytes as f64));
        bytes.push((size, usage.agent_traffic.wire_bytes() as f64 / MEASUREMENT_SECONDS));
    }
    Ok([
        Slope::new("idle entry", "us/s", "connected agent", &cpu),
        Slope::new("idle entry, resident", "bytes", "connected agent", &memory),
        Slope::new("idle links of an entry, on the wire", "bytes/s", "connected agent", &bytes),
    ])
}

/// Measures the idle cost of an agent, of gossip and of platform reads by number of entries.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_entries() -> Result<[Slope; 4], StackError> {
    let mut agent_cpu = Vec::new();
    let mut agent_memory = Vec::new();
    let mut gossip = Vec::new();
    let mut reads = Vec::new();
    for entries in ENTRY_COUNTS {
        let cluster = TestCluster::start(DEMO_DOCUMENT, AGENT_COUNT, entries).await?;
        let usage = cluster.measure_for(Duration::from_secs_f64(MEASUREMENT_SECONDS)).await?;
        cluster.close().await?;
        let size = entries as f64;
        let agents = AGENT_COUNT as f64;
        agent_cpu.push((size, usage.agents.cpu_us as f64 / MEASUREMENT_SECONDS / agents));
        agent_memory.push((size, usage.agents.resident_bytes as f64 / agents));
        gossip.push((size, usage.gossip_traffic.wire_bytes() as f64 / MEASUREMENT_SECONDS));
        reads.push((size, usage.platform_calls.reads as f64 / MEASUREMENT_SECONDS));
    }
    Ok([
        Slope::new("idle agent", "us/s", "connected entry", &agent_cpu),
        Slope::new("idle agent, resident", "bytes", "connected entry", &agent_memory),
        Slope::new("exchange among all entries, on the wire", "bytes/s", "entry", &gossip),
        Slope::new("platform reads of all entries", "calls/s", "entry", &reads),
    ])
}
