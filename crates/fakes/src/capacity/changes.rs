//! What a change of the configuration costs.

use std::{fmt::Write, time::Duration};

use yuccatrail_core::{
    control::{ConfigRecord, StoredConfig},
    ids::Digest,
};
use yuccatrail_platform::Kind;

use super::{
    rig::{Reading, Rig},
    slope::Slope,
};
use crate::stack::{plan::DEMO_DOCUMENT, run::StackError};

/// Agents of the rig.
const AGENTS: usize = 10;
/// Sizes of documents in kilobytes.
const SIZES_KB: [usize; 3] = [10, 100, 700];
/// Entries that pass a change on.
const ENTRIES: [usize; 3] = [1, 2, 4];
/// Size of the document that several entries pass on, in kilobytes.
const SHARED_KB: usize = 100;
/// Time in which a change reaches every process.
const SPREAD: Duration = Duration::from_secs(4);
/// Bytes in a kilobyte.
const KB_BYTES: f64 = 1_000.0;

/// Writes a valid document of at least `size_bytes` bytes.
pub fn document_of(size_bytes: usize) -> String {
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

/// Cost of one change against the size of the document, with one entry.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_size() -> Result<[Slope; 3], StackError> {
    let rig = Rig::start(DEMO_DOCUMENT, AGENTS, 1).await?;
    let idle = rig.watch(SPREAD).await?;
    let mut bytes = Vec::new();
    let mut entry_cpu = Vec::new();
    let mut agent_cpu = Vec::new();
    let agents = AGENTS as f64;
    for size_kb in SIZES_KB {
        let seen = change(&rig, size_kb).await?;
        let size = size_kb as f64;
        bytes.push((size, net(seen.links.wire_bytes(), idle.links.wire_bytes()) / agents));
        entry_cpu.push((size, net(seen.entries.cpu_us, idle.entries.cpu_us)));
        agent_cpu.push((size, net(seen.agents.cpu_us, idle.agents.cpu_us) / agents));
    }
    rig.close().await?;
    Ok([
        Slope::new("change to one agent, on the wire", "bytes", "kB of document", &bytes),
        Slope::new("change at the entry, 10 agents", "us", "kB of document", &entry_cpu),
        Slope::new("change at an agent", "us", "kB of document", &agent_cpu),
    ])
}

/// Copies of a change that an agent receives against the number of entries connected to it.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn by_entries() -> Result<Slope, StackError> {
    let mut copies = Vec::new();
    for entries in ENTRIES {
        let rig = Rig::start(DEMO_DOCUMENT, AGENTS, entries).await?;
        let idle = rig.watch(SPREAD).await?;
        let seen = change(&rig, SHARED_KB).await?;
        rig.close().await?;
        let bytes = net(seen.links.payload_bytes(), idle.links.payload_bytes());
        let copy_bytes = SHARED_KB as f64 * KB_BYTES;
        copies.push((entries as f64, bytes / AGENTS as f64 / copy_bytes));
    }
    Ok(Slope::new("copies of a 100 kB change at an agent", "copies", "connected entry", &copies))
}

/// Promotes a document of a size and returns what that took.
async fn change(rig: &Rig, size_kb: usize) -> Result<Reading, StackError> {
    let before = rig.read().await?;
    let current = rig.client.get::<StoredConfig>(Kind::Environments, "current").await?;
    let Some(current) = current else {
        return Err(StackError::NotReached { what: "a stored configuration".to_owned() });
    };
    let text = document_of(size_kb * KB_BYTES as usize);
    let version = current.spec.record.version + 1;
    let record = ConfigRecord { version, digest: Digest::of(text.as_bytes()), text: text.into() };
    let next = StoredConfig { record, history: Vec::new() };
    let from = &current.resource_version;
    rig.client.update(Kind::Environments, "current", from, &next).await?;
    tokio::time::sleep(SPREAD).await;
    Ok(rig.read().await?.since(before))
}

fn net(count: u64, idle_count: u64) -> f64 {
    count as f64 - idle_count as f64
}
