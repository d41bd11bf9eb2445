//! The planned size, and the linear extrapolation of the measured slopes to it.

use serde::{Deserialize, Serialize};
use yuccatrail_core::membership::{SubsetSizes, subset};

use super::{report::Slopes, slope::Slope};

/// Number of entries.
const ENTRY_COUNT: usize = 360;
/// Number of upstreams, each with an agent.
const UPSTREAM_COUNT: usize = 2_700;
/// Number of pools, one per model; the upstreams are divided evenly among them.
const POOL_COUNT: usize = 23;
/// Subset sizes for the assignment of a pool's upstreams to entries; the same as in the entry.
const SUBSET_SIZES: SubsetSizes = SubsetSizes { upstreams_per_entry: 8, entries_per_upstream: 3 };
/// Requests per second at peak.
const REQUESTS_PER_SECOND: f64 = 6_200.0;
/// Generated tokens per second at peak.
const TOKENS_PER_SECOND: f64 = 2_700_000.0;
/// Mean number of stages of a request's pipeline.
const STAGES_PER_REQUEST: f64 = 4.5;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 5_300.0;
/// Instances per day that fail, are restarted or are replaced.
const REPLACEMENTS_PER_DAY: f64 = 605.0;
/// Changes of the instance list for each replaced instance: leaving, removed, new.
const LIST_CHANGES_PER_REPLACEMENT: f64 = 3.0;
/// Number of seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Sizes of the configuration document, in kilobytes.
const DOCUMENT_SIZES_KB: [f64; 3] = [10.0, 100.0, 700.0];
/// Time for which an agent remembers an attempt, in seconds: its deadline plus the retention.
const ATTEMPT_RETENTION_SECONDS: f64 = 38.0;
/// Number of agents to which the entry propagates a document when changes are measured.
const AGENTS_IN_CHANGE_MEASUREMENT: f64 = 10.0;
/// Processor time that a node may spend on the control plane, in microseconds per second.
const CPU_BUDGET_US_PER_SECOND: f64 = 29_000.0;
/// Memory that a node may use for the control plane, in bytes.
const MEMORY_BUDGET_BYTES: f64 = 256_000_000.0;
/// Control plane traffic that a node may cause, in bytes per second.
const TRAFFIC_BUDGET_BYTES_PER_SECOND: f64 = 24_000.0;
/// Minimum interval of the heartbeats on a connection, in seconds; applies to an only connection.
const MIN_HEARTBEAT_SECONDS: f64 = 0.5;
/// Interval of an entry's heartbeats over all its connections together, in seconds.
const HEARTBEAT_SPACING_SECONDS: f64 = 0.05;
/// Maximum interval of the heartbeats on a connection, in seconds.
const MAX_HEARTBEAT_SECONDS: f64 = 10.0;
/// Time after which a watch ends and is opened again, in seconds.
const WATCH_TIMEOUT_SECONDS: f64 = 30.0;
/// Pairs of upstreams per entry and heartbeat interval in seconds, for comparison.
const HEARTBEAT_VARIANTS: [(usize, f64); 6] =
    [(32, 0.5), (32, 5.0), (8, 0.5), (8, 5.0), (4, 0.5), (4, 5.0)];
/// Maximum number of reads per second that the platform serves.
const PLATFORM_READ_LIMIT: f64 = 2_000.0;
/// Maximum number of writes per second that the platform accepts.
const PLATFORM_WRITE_LIMIT: f64 = 400.0;

/// A projected cost at the planned size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProjectedCost {
    /// Role that bears the cost: `entry`, `agent` or `platform`.
    pub role: String,
    /// What the cost consists of.
    pub item: String,
    /// Amount at the planned size, for one entry, one agent or the whole platform.
    pub amount: f64,
    /// Unit of the amount.
    pub unit: String,
    /// Limit of the amount in the same unit, if there is one.
    pub budget: Option<f64>,
}

impl ProjectedCost {
    fn new(role: &str, item: &str, amount: f64, unit: &str, budget: Option<f64>) -> Self {
        // A line fitted to noisy points can be negative at a small size.
        let amount = amount.max(0.0);
        Self { role: role.to_owned(), item: item.to_owned(), amount, unit: unit.to_owned(), budget }
    }
}

/// Connections of the entries and agents at the planned size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connections {
    /// Number of agents that one entry is connected to.
    pub agents_per_entry: f64,
    /// Mean number of entries that one agent is connected to.
    pub entries_per_agent: f64,
}

/// Heartbeat costs at the planned size with a given subset size and heartbeat interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatVariant {
    /// Upstreams of each pool that an entry is connected to.
    pub subset_size: usize,
    /// Interval of the heartbeats on a connection, in seconds.
    pub heartbeat_seconds: f64,
    /// Connections of entries and agents with this subset size.
    pub connections: Connections,
    /// Traffic of heartbeats and gossip at an entry, in bytes per second.
    pub entry_bytes: f64,
    /// Traffic of heartbeats at an agent, in bytes per second.
    pub agent_bytes: f64,
    /// Processor time of heartbeats at an entry, in microseconds per second.
    pub entry_cpu_us: f64,
}

impl Connections {
    /// Assigns the upstreams of all pools to one entry with the subset sizes of the entry.
    pub fn planned() -> Self {
        Self::with_subset_sizes(SUBSET_SIZES)
    }

    /// Assigns the upstreams of all pools to one entry with the given subset sizes.
    pub fn with_subset_sizes(sizes: SubsetSizes) -> Self {
        let entries: Vec<String> = (0..ENTRY_COUNT).map(|it| format!("entry-{it}")).collect();
        let entry_names: Vec<&str> = entries.iter().map(String::as_str).collect();
        let mut agents = 0;
        for pool in 0..POOL_COUNT {
            let size = (UPSTREAM_COUNT + pool) / POOL_COUNT;
            let names: Vec<String> = (0..size).map(|it| format!("engine-{pool}-{it}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            agents += subset(&entry_names, &names, "entry-0", sizes).len();
        }
        let agents_per_entry = agents as f64;
        let entries_per_agent = agents_per_entry * ENTRY_COUNT as f64 / UPSTREAM_COUNT as f64;
        Self { agents_per_entry, entries_per_agent }
    }
}

/// Extrapolates the slopes to the planned size.
pub fn project(slopes: &Slopes, connections: Connections) -> Vec<ProjectedCost> {
    let mut costs = entry_costs(slopes, connections);
    costs.extend(agent_costs(slopes, connections));
    costs.extend(platform_costs(slopes));
    costs.extend(request_costs(slopes));
    costs
}

/// Computes the heartbeat costs for all compared subset sizes and heartbeat intervals.
pub fn variants(slopes: &Slopes) -> Vec<HeartbeatVariant> {
    let heartbeat_bytes = heartbeat_bytes(slopes);
    let heartbeat_cpu_us = slopes.entry_cpu.fit.slope * MIN_HEARTBEAT_SECONDS;
    let gossip_bytes_per_second = slopes.gossip_bytes.fit.slope * 2.0;
    let mut variants = Vec::new();
    for (subset_size, heartbeat_seconds) in HEARTBEAT_VARIANTS {
        let sizes = SubsetSizes { upstreams_per_entry: subset_size, ..SUBSET_SIZES };
        let connections = Connections::with_subset_sizes(sizes);
        let rate = |connection_count: f64| connection_count / heartbeat_seconds;
        variants.push(HeartbeatVariant {
            subset_size,
            heartbeat_seconds,
            connections,
            entry_bytes: rate(connections.agents_per_entry) * heartbeat_bytes
                + gossip_bytes_per_second,
            agent_bytes: rate(connections.entries_per_agent) * heartbeat_bytes,
            entry_cpu_us: rate(connections.agents_per_entry) * heartbeat_cpu_us,
        });
    }
    variants
}

/// Returns the bytes of one heartbeat and its reply, from the measurement with one connection.
fn heartbeat_bytes(slopes: &Slopes) -> f64 {
    let single_connection = slopes.link_bytes.points.first();
    single_connection.map_or(0.0, |it| it.value / it.size * MIN_HEARTBEAT_SECONDS)
}

/// Returns the heartbeat interval on a connection, in seconds.
///
/// It grows with the number of connections, which bounds the rate of the entry's heartbeats.
fn heartbeat_seconds(agents: f64) -> f64 {
    (agents * HEARTBEAT_SPACING_SECONDS).clamp(MIN_HEARTBEAT_SECONDS, MAX_HEARTBEAT_SECONDS)
}

fn entry_costs(slopes: &Slopes, connections: Connections) -> Vec<ProjectedCost> {
    let agents = connections.agents_per_entry;
    let cost = |item: &str, amount: f64, unit: &str, budget: f64| {
        ProjectedCost::new("entry", item, amount, unit, Some(budget))
    };
    let attempts_per_second = REQUESTS_PER_SECOND * STAGES_PER_REQUEST / ENTRY_COUNT as f64;
    let list_changes_per_second =
        REPLACEMENTS_PER_DAY * LIST_CHANGES_PER_REPLACEMENT / SECONDS_PER_DAY;
    let gossip_bytes_per_second = slopes.gossip_bytes.fit.slope * 2.0;
    let mut costs = vec![
        ProjectedCost::new("entry", "connected agents", agents, "agents", None),
        cost("memory, idle", slopes.entry_memory.fit.at(agents), "bytes", MEMORY_BUDGET_BYTES),
        cost(
            "heartbeats, processor",
            slopes.entry_cpu.fit.at(agents),
            "us/s",
            CPU_BUDGET_US_PER_SECOND,
        ),
        cost(
            "heartbeats, traffic",
            agents / heartbeat_seconds(agents) * heartbeat_bytes(slopes),
            "bytes/s",
            TRAFFIC_BUDGET_BYTES_PER_SECOND,
        ),
        cost(
            "exchange among entries, traffic",
            gossip_bytes_per_second,
            "bytes/s",
            TRAFFIC_BUDGET_BYTES_PER_SECOND,
        ),
        cost(
            "routing decisions, processor",
            slopes.routing.fit.at(SUBSET_SIZES.upstreams_per_entry as f64) * attempts_per_second,
            "us/s",
            CPU_BUDGET_US_PER_SECOND,
        ),
        cost(
            "assignment on list changes, processor",
            slopes.assignment.fit.at(UPSTREAM_COUNT as f64) * list_changes_per_second,
            "us/s",
            CPU_BUDGET_US_PER_SECOND,
        ),
    ];
    for size_kb in DOCUMENT_SIZES_KB {
        let changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
        // Each agent requests the document from one entry, so each entry serves its share.
        let agents_served = UPSTREAM_COUNT as f64 / ENTRY_COUNT as f64;
        let bytes = slopes.change_bytes.fit.at(size_kb) * agents_served * changes_per_second;
        let adoption = slopes.adoption.fit.at(size_kb);
        let propagation = (slopes.change_entry_cpu.fit.at(size_kb) - adoption).max(0.0);
        let cpu = (adoption + propagation / AGENTS_IN_CHANGE_MEASUREMENT * agents_served)
            * changes_per_second;
        let item = format!("changes of {size_kb} kB, traffic");
        costs.push(cost(&item, bytes, "bytes/s", TRAFFIC_BUDGET_BYTES_PER_SECOND));
        let item = format!("changes of {size_kb} kB, processor");
        costs.push(cost(&item, cpu, "us/s", CPU_BUDGET_US_PER_SECOND));
    }
    costs
}

fn agent_costs(slopes: &Slopes, connections: Connections) -> Vec<ProjectedCost> {
    let entries = connections.entries_per_agent;
    let cost = |item: &str, amount: f64, unit: &str, budget: f64| {
        ProjectedCost::new("agent", item, amount, unit, Some(budget))
    };
    let attempts_per_second = REQUESTS_PER_SECOND * STAGES_PER_REQUEST / UPSTREAM_COUNT as f64;
    let attempt_memory =
        slopes.agent_core_memory.fit.slope * attempts_per_second * ATTEMPT_RETENTION_SECONDS;
    let memory = slopes.agent_memory.fit.at(entries) + attempt_memory.max(0.0);
    let mut costs = vec![
        ProjectedCost::new("agent", "connected entries", entries, "entries", None),
        cost("memory, idle and remembered attempts", memory, "bytes", MEMORY_BUDGET_BYTES),
        cost(
            "heartbeats, processor",
            slopes.agent_cpu.fit.at(entries),
            "us/s",
            CPU_BUDGET_US_PER_SECOND,
        ),
        cost(
            "heartbeats, traffic",
            entries / heartbeat_seconds(connections.agents_per_entry) * heartbeat_bytes(slopes),
            "bytes/s",
            TRAFFIC_BUDGET_BYTES_PER_SECOND,
        ),
        cost(
            "decisions of attempts, processor",
            slopes.agent_attempt.fit.at(attempts_per_second * ATTEMPT_RETENTION_SECONDS)
                * attempts_per_second,
            "us/s",
            CPU_BUDGET_US_PER_SECOND,
        ),
    ];
    for size_kb in DOCUMENT_SIZES_KB {
        let changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
        let copies = slopes.change_copies.fit.at(entries).max(1.0);
        let bytes_per_copy = slopes.change_bytes.fit.at(size_kb);
        let item = format!("changes of {size_kb} kB, traffic");
        costs.push(cost(
            &item,
            bytes_per_copy * copies * changes_per_second,
            "bytes/s",
            TRAFFIC_BUDGET_BYTES_PER_SECOND,
        ));
        let cpu = slopes.change_agent_cpu.fit.at(size_kb) * changes_per_second;
        let item = format!("changes of {size_kb} kB, processor, one copy");
        costs.push(cost(&item, cpu, "us/s", CPU_BUDGET_US_PER_SECOND));
    }
    costs
}

fn platform_costs(slopes: &Slopes) -> Vec<ProjectedCost> {
    let entries = ENTRY_COUNT as f64;
    let writes_per_claim = slopes.claim_writes.fit.slope.max(1.0);
    let at = |slope: &Slope| slope.fit.at(entries).max(0.0);
    vec![
        ProjectedCost::new(
            "platform",
            "reads of the control state",
            at(&slopes.platform_reads),
            "calls/s",
            Some(PLATFORM_READ_LIMIT),
        ),
        ProjectedCost::new(
            "platform",
            "watches of the instance list",
            entries / WATCH_TIMEOUT_SECONDS,
            "calls/s",
            Some(PLATFORM_READ_LIMIT),
        ),
        ProjectedCost::new(
            "platform",
            "writes if every request were claimed",
            REQUESTS_PER_SECOND * writes_per_claim,
            "calls/s",
            Some(PLATFORM_WRITE_LIMIT),
        ),
        ProjectedCost::new(
            "platform",
            "claimed calls that the platform bears",
            PLATFORM_WRITE_LIMIT / writes_per_claim,
            "calls/s",
            None,
        ),
    ]
}

/// Projects the cost of the requests themselves, for comparison.
///
/// These costs have no limit: the budgets cover the control plane only.
fn request_costs(slopes: &Slopes) -> Vec<ProjectedCost> {
    let entries = ENTRY_COUNT as f64;
    let upstreams = UPSTREAM_COUNT as f64;
    let attempts_per_second = REQUESTS_PER_SECOND * STAGES_PER_REQUEST;
    let [bytes, entry_cpu, agent_cpu] = &slopes.tokens;
    let mut costs = Vec::new();
    for (role, nodes, call_cpu, token_cpu) in [
        ("entry", entries, &slopes.call_entry_cpu, entry_cpu),
        ("agent", upstreams, &slopes.call_agent_cpu, agent_cpu),
    ] {
        let calls = attempts_per_second * call_cpu.fit.slope / nodes;
        let tokens = TOKENS_PER_SECOND * token_cpu.fit.slope / nodes;
        let traffic = (attempts_per_second * slopes.call_bytes.fit.slope
            + TOKENS_PER_SECOND * bytes.fit.slope)
            / nodes;
        costs.push(ProjectedCost::new(role, "requests: calls, processor", calls, "us/s", None));
        costs.push(ProjectedCost::new(role, "requests: tokens, processor", tokens, "us/s", None));
        costs.push(ProjectedCost::new(role, "requests: links, traffic", traffic, "bytes/s", None));
    }
    costs
}
