//! Runs all capacity measurements and formats the results.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::{
    calls, changes, decisions, idle,
    projection::{self, Connections, HeartbeatVariant, ProjectedCost},
    slope::Slope,
};
use crate::{measure::machine::Machine, stack::run::StackError};

/// All measured slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Time of a routing decision by number of candidates.
    pub routing: Slope,
    /// Time of an assignment by number of upstreams.
    pub assignment: Slope,
    /// Time of an attempt in the agent's core by number of remembered attempts.
    pub agent_attempt: Slope,
    /// Memory of the agent's core by number of remembered attempts.
    pub agent_core_memory: Slope,
    /// Time to adopt a configuration document by its size.
    pub adoption: Slope,
    /// Processor time of an idle entry by number of connected agents.
    pub entry_cpu: Slope,
    /// Memory of an idle entry by number of connected agents.
    pub entry_memory: Slope,
    /// Traffic of an entry's idle connections by number of connected agents.
    pub link_bytes: Slope,
    /// Processor time of an idle agent by number of connected entries.
    pub agent_cpu: Slope,
    /// Memory of an idle agent by number of connected entries.
    pub agent_memory: Slope,
    /// Gossip traffic among all entries by number of entries.
    pub gossip_bytes: Slope,
    /// Platform reads of all entries by number of entries.
    pub platform_reads: Slope,
    /// Traffic between entry and agents by number of service calls.
    pub call_bytes: Slope,
    /// Messages to agents by number of service calls.
    pub call_messages: Slope,
    /// Processor time of the entry by number of service calls.
    pub call_entry_cpu: Slope,
    /// Processor time of the agents by number of service calls.
    pub call_agent_cpu: Slope,
    /// Platform writes by number of claimed calls.
    pub claim_writes: Slope,
    /// Platform traffic by number of claimed calls.
    pub claim_bytes: Slope,
    /// Processor time of the entry by number of claimed calls.
    pub claim_entry_cpu: Slope,
    /// Traffic between entry and agents, processor time of the entry, and processor time of the
    /// agents, by number of tokens of a pipeline.
    pub tokens: [Slope; 3],
    /// Traffic of a configuration change to one agent by document size.
    pub change_bytes: Slope,
    /// Processor time of a configuration change at an entry with ten agents by document size.
    pub change_entry_cpu: Slope,
    /// Processor time of a configuration change at an agent by document size.
    pub change_agent_cpu: Slope,
    /// Copies of a configuration change that an agent receives by number of connected entries.
    pub change_copies: Slope,
}

/// Measured slopes and their projection to the planned size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Machine, build and start time of the measurement.
    pub machine: Machine,
    /// Measured slopes.
    pub slopes: Slopes,
    /// Claimed calls per second that one entry completed.
    pub claims_per_second: f64,
    /// Connections of entries and agents at the planned size.
    pub connections: Connections,
    /// Costs at the planned size.
    #[serde(rename = "lines")]
    pub projected_costs: Vec<ProjectedCost>,
    /// Heartbeat costs at the planned size with other settings.
    pub variants: Vec<HeartbeatVariant>,
}

/// Runs all measurements and extrapolates them to the planned size.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn measure() -> Result<CapacityReport, StackError> {
    let machine = Machine::describe();
    let [agent_attempt, agent_core_memory] = decisions::agent_attempts();
    let [entry_cpu, entry_memory, link_bytes] = idle::by_agents().await?;
    let [agent_cpu, agent_memory, gossip_bytes, platform_reads] = idle::by_entries().await?;
    let costs = calls::measure().await?;
    let [call_bytes, call_messages, call_entry_cpu, call_agent_cpu] = costs.service;
    let [claim_writes, claim_bytes, claim_entry_cpu] = costs.claimed;
    let [change_bytes, change_entry_cpu, change_agent_cpu] = changes::by_size().await?;
    let slopes = Slopes {
        routing: decisions::routing(),
        assignment: decisions::assignment(),
        agent_attempt,
        agent_core_memory,
        adoption: decisions::adoption(),
        entry_cpu,
        entry_memory,
        link_bytes,
        agent_cpu,
        agent_memory,
        gossip_bytes,
        platform_reads,
        call_bytes,
        call_messages,
        call_entry_cpu,
        call_agent_cpu,
        claim_writes,
        claim_bytes,
        claim_entry_cpu,
        tokens: costs.tokens,
        change_bytes,
        change_entry_cpu,
        change_agent_cpu,
        change_copies: changes::by_entries().await?,
    };
    let connections = Connections::planned();
    let projected_costs = projection::project(&slopes, connections);
    let variants = projection::variants(&slopes);
    let claims_per_second = costs.claims_per_second;
    Ok(CapacityReport {
        machine,
        slopes,
        claims_per_second,
        connections,
        projected_costs,
        variants,
    })
}

impl Slopes {
    /// Returns all slopes in the order of the table.
    pub fn all(&self) -> Vec<&Slope> {
        let mut all = vec![
            &self.routing,
            &self.assignment,
            &self.agent_attempt,
            &self.agent_core_memory,
            &self.adoption,
            &self.entry_cpu,
            &self.entry_memory,
            &self.link_bytes,
            &self.agent_cpu,
            &self.agent_memory,
            &self.gossip_bytes,
            &self.platform_reads,
            &self.call_bytes,
            &self.call_messages,
            &self.call_entry_cpu,
            &self.call_agent_cpu,
            &self.claim_writes,
            &self.claim_bytes,
            &self.claim_entry_cpu,
        ];
        all.extend(&self.tokens);
        all.extend([
            &self.change_bytes,
            &self.change_entry_cpu,
            &self.change_agent_cpu,
            &self.change_copies,
        ]);
        all
    }
}

impl CapacityReport {
    /// Formats the results as Markdown tables.
    pub fn table(&self) -> String {
        let mut table = format!("{}\n\n", self.machine);
        self.write_slopes(&mut table);
        self.write_projected_costs(&mut table);
        self.write_variants(&mut table);
        table
    }

    fn write_slopes(&self, table: &mut String) {
        let _ = writeln!(table, "| quantity | unit | per | size: value | base | slope | r² |");
        let _ = writeln!(table, "|---|---|---|---|---:|---:|---:|");
        for slope in self.slopes.all() {
            let _ = writeln!(
                table,
                "| {} | {} | {} | {} | {} | {} | {:.3} |",
                slope.quantity,
                slope.unit,
                slope.per,
                format_points(slope),
                format_number(slope.fit.base),
                format_number(slope.fit.slope),
                slope.fit.r_squared
            );
        }
        let claims = self.claims_per_second;
        let _ = writeln!(table, "\nclaimed calls through one entry: {claims:.0} a second\n");
    }

    fn write_projected_costs(&self, table: &mut String) {
        let _ = writeln!(table, "| role | item | amount | unit | limit | times the limit |");
        let _ = writeln!(table, "|---|---|---:|---|---:|---:|");
        for cost in &self.projected_costs {
            let (limit, ratio) = match cost.budget {
                Some(budget) => (format_number(budget), format!("{:.2}", cost.amount / budget)),
                None => ("-".to_owned(), "-".to_owned()),
            };
            let amount = format_number(cost.amount);
            let (role, item, unit) = (&cost.role, &cost.item, &cost.unit);
            let _ = writeln!(table, "| {role} | {item} | {amount} | {unit} | {limit} | {ratio} |");
        }
    }

    fn write_variants(&self, table: &mut String) {
        let _ = writeln!(
            table,
            "\n| subset | heartbeat s | agents an entry | entries an agent | entry bytes/s | \
             agent bytes/s | entry us/s |\n|---:|---:|---:|---:|---:|---:|---:|"
        );
        for variant in &self.variants {
            let _ = writeln!(
                table,
                "| {} | {} | {} | {} | {} | {} | {} |",
                variant.subset_size,
                variant.heartbeat_seconds,
                format_number(variant.connections.agents_per_entry),
                format_number(variant.connections.entries_per_agent),
                format_number(variant.entry_bytes),
                format_number(variant.agent_bytes),
                format_number(variant.entry_cpu_us)
            );
        }
    }
}

fn format_points(slope: &Slope) -> String {
    let mut text = String::new();
    for point in &slope.points {
        if !text.is_empty() {
            text.push_str(", ");
        }
        let _ = write!(text, "{}: {}", format_number(point.size), format_number(point.value));
    }
    text
}

/// Formats a number with about three significant digits, with suffix `k` or `M` if it is large.
fn format_number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 1_000_000.0 => format!("{:.2}M", value / 1_000_000.0),
        magnitude if magnitude >= 10_000.0 => format!("{:.1}k", value / 1_000.0),
        magnitude if magnitude >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
