//! Cost of a configuration change in traffic and processor time.

use std::{fmt::Write, time::Duration};

use yuccatrail_core::{
    control::{ConfigRecord, StoredConfig},
    ids::Digest,
};
use yuccatrail_platform::Kind;

use super::{
    slope::Slope,
    test_cluster::{ClusterUsage, TestCluster},
};
use crate::stack::{plan::DEMO_DOCUMENT, run::StackError};

/// Number of agents in the test cluster.
const AGENT_COUNT: usize = 10;
/// Sizes of the configuration document, in kilobytes.
const DOCUMENT_SIZES_KB: [usize; 3] = [10, 100, 700];
/// Numbers of entries that propagate a change to the agents.
const ENTRY_COUNTS: [usize; 3] = [1, 2, 4];
/// Size of the document that several entries propagate, in kilobytes.
const SHARED_DOCUMENT_KB: usize = 100;
/// Time after which a change has reached every process; idle usage is measured over the same time.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Number of bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;

/// Returns a valid configuration document of at least `size_bytes` bytes.
pub fn document_of_size(size_bytes: usize) -> String {
    let mut text = DEMO_DOCUMENT.to_owned();
    let mut number = 0;
    while text.len() < size_bytes {
        let _ = write!(
            text,
            "\n[[pipeline]]\nname = \"extra-{number}\"\ndeadline_ms = 8000\n\
             \n[[pipeline.stage]]\npool = \"encoders\"\n\
             \n[[pipeline.stage]]\npool = \"retrievers\"\ntop_k = 6\n\
             \n[[pipeline.stage]]\npool = \"rerankers\"\ntop_k = 3\n\
             \n[[pipeline.stage]]\npool = \"engines\"\nmax_tokens = 16\n"
        );
        number += 1;
    }
    text
}

/// Measures the cost of one change by document size, with one entry.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_size() -> Result<[Slope; 3], StackError> {
    let cluster = TestCluster::start(DEMO_DOCUMENT, AGENT_COUNT, 1).await?;
    let idle = cluster.measure_for(PROPAGATION_TIME).await?;
    let mut bytes = Vec::new();
    let mut entry_cpu = Vec::new();
    let mut agent_cpu = Vec::new();
    let agents = AGENT_COUNT as f64;
    for size_kb in DOCUMENT_SIZES_KB {
        let usage = apply_change(&cluster, size_kb).await?;
        let size = size_kb as f64;
        bytes.push((
            size,
            above_idle(usage.agent_traffic.wire_bytes(), idle.agent_traffic.wire_bytes()) / agents,
        ));
        entry_cpu.push((size, above_idle(usage.entries.cpu_us, idle.entries.cpu_us)));
        agent_cpu.push((size, above_idle(usage.agents.cpu_us, idle.agents.cpu_us) / agents));
    }
    cluster.close().await?;
    Ok([
        Slope::new("change to one agent, on the wire", "bytes", "kB of document", &bytes),
        Slope::new("change at the entry, 10 agents", "us", "kB of document", &entry_cpu),
        Slope::new("change at an agent", "us", "kB of document", &agent_cpu),
    ])
}

/// Measures how many copies of a change an agent receives, by the number of connected entries.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_entries() -> Result<Slope, StackError> {
    let mut copies = Vec::new();
    for entries in ENTRY_COUNTS {
        let cluster = TestCluster::start(DEMO_DOCUMENT, AGENT_COUNT, entries).await?;
        let idle = cluster.measure_for(PROPAGATION_TIME).await?;
        let usage = apply_change(&cluster, SHARED_DOCUMENT_KB).await?;
        cluster.close().await?;
        let bytes =
            above_idle(usage.agent_traffic.payload_bytes(), idle.agent_traffic.payload_bytes());
        let copy_bytes = SHARED_DOCUMENT_KB as f64 * BYTES_PER_KB;
        copies.push((entries as f64, bytes / AGENT_COUNT as f64 / copy_bytes));
    }
    Ok(Slope::new("copies of a 100 kB change at an agent", "copies", "connected entry", &copies))
}

/// Writes a new version of the configuration with a document of at least `size_kb`.
///
/// Returns the usage until the change has reached every process.
async fn apply_change(cluster: &TestCluster, size_kb: usize) -> Result<ClusterUsage, StackError> {
    let before = cluster.read_usage().await?;
    let current = cluster.client.get::<StoredConfig>(Kind::Environments, "current").await?;
    let Some(current) = current else {
        return Err(StackError::NotReached { what: "a stored configuration".to_owned() });
    };
    let text = document_of_size(size_kb * BYTES_PER_KB as usize);
    let version = current.spec.record.version + 1;
    let record = ConfigRecord { version, digest: Digest::of(text.as_bytes()), text: text.into() };
    let next = StoredConfig { record, history: Vec::new() };
    let resource_version = &current.resource_version;
    cluster.client.update(Kind::Environments, "current", resource_version, &next).await?;
    tokio::time::sleep(PROPAGATION_TIME).await;
    Ok(cluster.read_usage().await?.since(before))
}

fn above_idle(count: u64, idle_count: u64) -> f64 {
    count as f64 - idle_count as f64
}
