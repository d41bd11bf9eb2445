//! What connections cost while nothing is requested.

use std::time::Duration;

use super::{rig::Rig, slope::Slope};
use crate::stack::{plan::DEMO_DOCUMENT, run::StackError};

/// Agents that one entry is connected to.
const AGENTS: [usize; 4] = [1, 10, 30, 60];
/// Entries that are connected to each agent.
const ENTRIES: [usize; 4] = [1, 2, 4, 8];
/// Agents beside the entries.
const AGENTS_BESIDE_ENTRIES: usize = 5;
/// Time for which the processes are watched, in seconds.
const WATCH_SECONDS: f64 = 5.0;

/// Idle cost of one entry against the number of its agents.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_agents() -> Result<[Slope; 3], StackError> {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut bytes = Vec::new();
    for agents in AGENTS {
        let rig = Rig::start(DEMO_DOCUMENT, agents, 1).await?;
        let seen = rig.watch(Duration::from_secs_f64(WATCH_SECONDS)).await?;
        rig.close().await?;
        let size = agents as f64;
        cpu.push((size, seen.entries.cpu_us as f64 / WATCH_SECONDS));
        memory.push((size, seen.entries.resident_bytes as f64));
        bytes.push((size, seen.links.wire_bytes() as f64 / WATCH_SECONDS));
    }
    Ok([
        Slope::new("idle entry", "us/s", "connected agent", &cpu),
        Slope::new("idle entry, resident", "bytes", "connected agent", &memory),
        Slope::new("idle links of an entry, on the wire", "bytes/s", "connected agent", &bytes),
    ])
}

/// Idle cost of an agent, of exchange among entries and of the platform against the entries.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_entries() -> Result<[Slope; 4], StackError> {
    let mut agent_cpu = Vec::new();
    let mut agent_memory = Vec::new();
    let mut gossip = Vec::new();
    let mut reads = Vec::new();
    for entries in ENTRIES {
        let rig = Rig::start(DEMO_DOCUMENT, AGENTS_BESIDE_ENTRIES, entries).await?;
        let seen = rig.watch(Duration::from_secs_f64(WATCH_SECONDS)).await?;
        rig.close().await?;
        let size = entries as f64;
        let agents = AGENTS_BESIDE_ENTRIES as f64;
        agent_cpu.push((size, seen.agents.cpu_us as f64 / WATCH_SECONDS / agents));
        agent_memory.push((size, seen.agents.resident_bytes as f64 / agents));
        gossip.push((size, seen.gossip.wire_bytes() as f64 / WATCH_SECONDS));
        reads.push((size, seen.platform.reads as f64 / WATCH_SECONDS));
    }
    Ok([
        Slope::new("idle agent", "us/s", "connected entry", &agent_cpu),
        Slope::new("idle agent, resident", "bytes", "connected entry", &agent_memory),
        Slope::new("exchange among all entries, on the wire", "bytes/s", "entry", &gossip),
        Slope::new("platform reads of all entries", "calls/s", "entry", &reads),
    ])
}
