//! The planned size, and what the measured slopes give for it.

use serde::{Deserialize, Serialize};
use yuccatrail_core::membership::{SubsetSizes, subset};

use super::{report::Slopes, slope::Slope};

/// Entries.
const ENTRIES: usize = 360;
/// Upstreams, each with an agent.
const UPSTREAMS: usize = 2_700;
/// Pools among which the upstreams are divided evenly, one for each model.
const POOLS: usize = 23;
/// Bounds of the upstreams of a pool that an entry connects to, as in the entry.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Requests a second at the peak.
const REQUESTS_PER_SECOND: f64 = 6_200.0;
/// Tokens generated a second at the peak.
const TOKENS_PER_SECOND: f64 = 2_700_000.0;
/// Mean number of stages of a pipeline.
const STAGES: f64 = 4.5;
/// Changes of the configuration a day.
const CHANGES_PER_DAY: f64 = 5_300.0;
/// Instances that fail, are restarted or are replaced a day.
const REPLACED_PER_DAY: f64 = 605.0;
/// Changes of the instance list for each replaced instance: leaving, gone, new.
const LIST_CHANGES: f64 = 3.0;
/// Seconds in a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Sizes of the environment document in kilobytes.
const DOCUMENT_KB: [f64; 3] = [10.0, 100.0, 700.0];
/// Time for which an agent remembers an attempt, in seconds: the deadline and the retention.
const REMEMBERED_SECONDS: f64 = 38.0;
/// Agents to which the entry of the change measurement passed a document on.
const CHANGE_AGENTS: f64 = 10.0;
/// Processor time for control that a node may spend, in microseconds a second.
const CPU_BUDGET_US: f64 = 29_000.0;
/// Memory for control that a node may take, in bytes.
const MEMORY_BUDGET_BYTES: f64 = 256_000_000.0;
/// Traffic for control that a node may cause, in bytes a second.
const TRAFFIC_BUDGET_BYTES: f64 = 24_000.0;
/// Time between two heartbeats on an entry's only connection, in seconds.
const HEARTBEAT_SECONDS: f64 = 0.5;
/// Time between two heartbeats of an entry over all its connections, in seconds.
const HEARTBEAT_SPACING_SECONDS: f64 = 0.05;
/// Longest time between two heartbeats on a connection, in seconds.
const MAX_HEARTBEAT_SECONDS: f64 = 10.0;
/// Time after which a watch is opened again, in seconds.
const WATCH_SECONDS: f64 = 30.0;
/// Subset sizes and heartbeat intervals, in seconds, that are compared.
const VARIANTS: [(usize, f64); 6] = [(32, 0.5), (32, 5.0), (8, 0.5), (8, 5.0), (4, 0.5), (4, 5.0)];
/// Reads that the platform answers a second.
const PLATFORM_READS: f64 = 2_000.0;
/// Writes that the platform takes a second.
const PLATFORM_WRITES: f64 = 400.0;

/// One line of the product.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Role that bears it.
    pub role: String,
    /// What it is.
    pub item: String,
    /// Amount at the planned size.
    pub amount: f64,
    /// Unit of the amount.
    pub unit: String,
    /// Limit in the same unit, if there is one.
    pub budget: Option<f64>,
}

impl Line {
    fn new(role: &str, item: &str, amount: f64, unit: &str, budget: Option<f64>) -> Self {
        // A line through noisy points may lie below zero at a small size.
        let amount = amount.max(0.0);
        Self { role: role.to_owned(), item: item.to_owned(), amount, unit: unit.to_owned(), budget }
    }
}

/// Connections of the entries and agents at the planned size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connections {
    /// Agents that one entry is connected to.
    pub agents_per_entry: f64,
    /// Entries that one agent is connected to.
    pub entries_per_agent: f64,
}

/// Connections and heartbeats with other settings than today's.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Variant {
    /// Upstreams of a pool that every entry gets.
    pub subset_size: usize,
    /// Time between two heartbeats, in seconds.
    pub heartbeat_seconds: f64,
    /// Connections.
    pub connections: Connections,
    /// Traffic of heartbeats and exchange at an entry, in bytes a second.
    pub entry_bytes: f64,
    /// Traffic of heartbeats at an agent, in bytes a second.
    pub agent_bytes: f64,
    /// Processor time of heartbeats at an entry, in microseconds a second.
    pub entry_cpu_us: f64,
}

impl Connections {
    /// Assigns the upstreams of all pools to one entry, as the entry does today.
    pub fn planned() -> Self {
        Self::with(SUBSET_SIZES)
    }

    /// Assigns the upstreams of all pools to one entry.
    pub fn with(sizes: SubsetSizes) -> Self {
        let entries: Vec<String> = (0..ENTRIES).map(|it| format!("entry-{it}")).collect();
        let entry_names: Vec<&str> = entries.iter().map(String::as_str).collect();
        let mut agents = 0;
        for pool in 0..POOLS {
            let size = (UPSTREAMS + pool) / POOLS;
            let names: Vec<String> = (0..size).map(|it| format!("engine-{pool}-{it}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            agents += subset(&entry_names, &names, "entry-0", sizes).len();
        }
        let agents_per_entry = agents as f64;
        let entries_per_agent = agents_per_entry * ENTRIES as f64 / UPSTREAMS as f64;
        Self { agents_per_entry, entries_per_agent }
    }
}

/// Multiplies the slopes out to the planned size.
pub fn lines(slopes: &Slopes, connections: Connections) -> Vec<Line> {
    let mut lines = entry_lines(slopes, connections);
    lines.extend(agent_lines(slopes, connections));
    lines.extend(platform_lines(slopes));
    lines.extend(request_lines(slopes));
    lines
}

/// Computes the traffic of heartbeats for other settings.
pub fn variants(slopes: &Slopes) -> Vec<Variant> {
    let exchange_bytes = exchange_bytes(slopes);
    let exchange_cpu_us = slopes.entry_cpu.fit.slope * HEARTBEAT_SECONDS;
    let gossip = slopes.gossip_bytes.fit.slope * 2.0;
    let mut variants = Vec::new();
    for (subset_size, heartbeat_seconds) in VARIANTS {
        let sizes = SubsetSizes { upstreams_per_entry: subset_size, ..SUBSET_SIZES };
        let connections = Connections::with(sizes);
        let rate = |links: f64| links / heartbeat_seconds;
        variants.push(Variant {
            subset_size,
            heartbeat_seconds,
            connections,
            entry_bytes: rate(connections.agents_per_entry) * exchange_bytes + gossip,
            agent_bytes: rate(connections.entries_per_agent) * exchange_bytes,
            entry_cpu_us: rate(connections.agents_per_entry) * exchange_cpu_us,
        });
    }
    variants
}

/// Returns the size of one heartbeat with its reply, measured on an entry's only connection.
fn exchange_bytes(slopes: &Slopes) -> f64 {
    let alone = slopes.link_bytes.points.first();
    alone.map_or(0.0, |it| it.value / it.size * HEARTBEAT_SECONDS)
}

/// Returns the time between two heartbeats on a connection, which grows with their number.
fn heartbeat_seconds(agents: f64) -> f64 {
    (agents * HEARTBEAT_SPACING_SECONDS).clamp(HEARTBEAT_SECONDS, MAX_HEARTBEAT_SECONDS)
}

fn entry_lines(slopes: &Slopes, connections: Connections) -> Vec<Line> {
    let agents = connections.agents_per_entry;
    let line = |item: &str, amount: f64, unit: &str, budget: f64| {
        Line::new("entry", item, amount, unit, Some(budget))
    };
    let attempts = REQUESTS_PER_SECOND * STAGES / ENTRIES as f64;
    let list_changes = REPLACED_PER_DAY * LIST_CHANGES / DAY_SECONDS;
    let gossip = slopes.gossip_bytes.fit.slope * 2.0;
    let mut lines = vec![
        Line::new("entry", "connected agents", agents, "agents", None),
        line("memory, idle", slopes.entry_memory.fit.at(agents), "bytes", MEMORY_BUDGET_BYTES),
        line("heartbeats, processor", slopes.entry_cpu.fit.at(agents), "us/s", CPU_BUDGET_US),
        line(
            "heartbeats, traffic",
            agents / heartbeat_seconds(agents) * exchange_bytes(slopes),
            "bytes/s",
            TRAFFIC_BUDGET_BYTES,
        ),
        line("exchange among entries, traffic", gossip, "bytes/s", TRAFFIC_BUDGET_BYTES),
        line(
            "routing decisions, processor",
            slopes.routing.fit.at(SUBSET_SIZES.upstreams_per_entry as f64) * attempts,
            "us/s",
            CPU_BUDGET_US,
        ),
        line(
            "assignment on list changes, processor",
            slopes.assignment.fit.at(UPSTREAMS as f64) * list_changes,
            "us/s",
            CPU_BUDGET_US,
        ),
    ];
    for size_kb in DOCUMENT_KB {
        let changes = CHANGES_PER_DAY / DAY_SECONDS;
        // Each agent asks one entry for the document, so the entries share the agents.
        let served = UPSTREAMS as f64 / ENTRIES as f64;
        let bytes = slopes.change_bytes.fit.at(size_kb) * served * changes;
        let adoption = slopes.adoption.fit.at(size_kb);
        let passed_on = (slopes.change_entry_cpu.fit.at(size_kb) - adoption).max(0.0);
        let cpu = (adoption + passed_on / CHANGE_AGENTS * served) * changes;
        let item = format!("changes of {size_kb} kB, traffic");
        lines.push(line(&item, bytes, "bytes/s", TRAFFIC_BUDGET_BYTES));
        let item = format!("changes of {size_kb} kB, processor");
        lines.push(line(&item, cpu, "us/s", CPU_BUDGET_US));
    }
    lines
}

fn agent_lines(slopes: &Slopes, connections: Connections) -> Vec<Line> {
    let entries = connections.entries_per_agent;
    let line = |item: &str, amount: f64, unit: &str, budget: f64| {
        Line::new("agent", item, amount, unit, Some(budget))
    };
    let attempts = REQUESTS_PER_SECOND * STAGES / UPSTREAMS as f64;
    let ledger = slopes.agent_core_memory.fit.slope * attempts * REMEMBERED_SECONDS;
    let memory = slopes.agent_memory.fit.at(entries) + ledger.max(0.0);
    let mut lines = vec![
        Line::new("agent", "connected entries", entries, "entries", None),
        line("memory, idle and remembered attempts", memory, "bytes", MEMORY_BUDGET_BYTES),
        line("heartbeats, processor", slopes.agent_cpu.fit.at(entries), "us/s", CPU_BUDGET_US),
        line(
            "heartbeats, traffic",
            entries / heartbeat_seconds(connections.agents_per_entry) * exchange_bytes(slopes),
            "bytes/s",
            TRAFFIC_BUDGET_BYTES,
        ),
        line(
            "decisions of attempts, processor",
            slopes.agent_attempt.fit.at(attempts * REMEMBERED_SECONDS) * attempts,
            "us/s",
            CPU_BUDGET_US,
        ),
    ];
    for size_kb in DOCUMENT_KB {
        let changes = CHANGES_PER_DAY / DAY_SECONDS;
        let copies = slopes.change_copies.fit.at(entries).max(1.0);
        let one_copy = slopes.change_bytes.fit.at(size_kb);
        let item = format!("changes of {size_kb} kB, traffic");
        lines.push(line(&item, one_copy * copies * changes, "bytes/s", TRAFFIC_BUDGET_BYTES));
        let cpu = slopes.change_agent_cpu.fit.at(size_kb) * changes;
        let item = format!("changes of {size_kb} kB, processor, one copy");
        lines.push(line(&item, cpu, "us/s", CPU_BUDGET_US));
    }
    lines
}

fn platform_lines(slopes: &Slopes) -> Vec<Line> {
    let entries = ENTRIES as f64;
    let writes_per_claim = slopes.claim_writes.fit.slope.max(1.0);
    let at = |slope: &Slope| slope.fit.at(entries).max(0.0);
    vec![
        Line::new(
            "platform",
            "reads of the control state",
            at(&slopes.platform_reads),
            "calls/s",
            Some(PLATFORM_READS),
        ),
        Line::new(
            "platform",
            "watches of the instance list",
            entries / WATCH_SECONDS,
            "calls/s",
            Some(PLATFORM_READS),
        ),
        Line::new(
            "platform",
            "writes if every request were claimed",
            REQUESTS_PER_SECOND * writes_per_claim,
            "calls/s",
            Some(PLATFORM_WRITES),
        ),
        Line::new(
            "platform",
            "claimed calls that the platform bears",
            PLATFORM_WRITES / writes_per_claim,
            "calls/s",
            None,
        ),
    ]
}

/// What the requests themselves cost, for comparison; the limits are for control alone.
fn request_lines(slopes: &Slopes) -> Vec<Line> {
    let entries = ENTRIES as f64;
    let upstreams = UPSTREAMS as f64;
    let attempts = REQUESTS_PER_SECOND * STAGES;
    let [bytes, entry_cpu, agent_cpu] = &slopes.tokens;
    let mut lines = Vec::new();
    for (role, nodes, call_cpu, token_cpu) in [
        ("entry", entries, &slopes.call_entry_cpu, entry_cpu),
        ("agent", upstreams, &slopes.call_agent_cpu, agent_cpu),
    ] {
        let calls = attempts * call_cpu.fit.slope / nodes;
        let tokens = TOKENS_PER_SECOND * token_cpu.fit.slope / nodes;
        let traffic =
            (attempts * slopes.call_bytes.fit.slope + TOKENS_PER_SECOND * bytes.fit.slope) / nodes;
        lines.push(Line::new(role, "requests: calls, processor", calls, "us/s", None));
        lines.push(Line::new(role, "requests: tokens, processor", tokens, "us/s", None));
        lines.push(Line::new(role, "requests: links, traffic", traffic, "bytes/s", None));
    }
    lines
}
