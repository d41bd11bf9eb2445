//! Measurement of all slopes, and their tables.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::{
    calls, changes, decisions, links,
    product::{self, Connections, Line, Variant},
    slope::Slope,
};
use crate::{measure::machine::Machine, stack::run::StackError};

/// All measured slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Routing decision against candidates.
    pub routing: Slope,
    /// Assignment against upstreams.
    pub assignment: Slope,
    /// Attempt in the agent's core against remembered attempts.
    pub agent_attempt: Slope,
    /// Memory of the agent's core against remembered attempts.
    pub agent_core_memory: Slope,
    /// Adoption of a document against its size.
    pub adoption: Slope,
    /// Processor time of an idle entry against its agents.
    pub entry_cpu: Slope,
    /// Memory of an idle entry against its agents.
    pub entry_memory: Slope,
    /// Traffic of an entry's idle links against its agents.
    pub link_bytes: Slope,
    /// Processor time of an idle agent against its entries.
    pub agent_cpu: Slope,
    /// Memory of an idle agent against its entries.
    pub agent_memory: Slope,
    /// Traffic among all entries against their number.
    pub gossip_bytes: Slope,
    /// Platform reads of all entries against their number.
    pub platform_reads: Slope,
    /// Link traffic against service calls.
    pub call_bytes: Slope,
    /// Messages to agents against service calls.
    pub call_messages: Slope,
    /// Processor time of the entry against service calls.
    pub call_entry_cpu: Slope,
    /// Processor time of the agents against service calls.
    pub call_agent_cpu: Slope,
    /// Platform writes against claimed calls.
    pub claim_writes: Slope,
    /// Platform traffic against claimed calls.
    pub claim_bytes: Slope,
    /// Processor time of the entry against claimed calls.
    pub claim_entry_cpu: Slope,
    /// Link traffic and processor time of entry and agents against tokens of a pipeline.
    pub tokens: [Slope; 3],
    /// Traffic of a change to one agent against the size of the document.
    pub change_bytes: Slope,
    /// Processor time of a change at an entry with ten agents against the size of the document.
    pub change_entry_cpu: Slope,
    /// Processor time of a change at an agent against the size of the document.
    pub change_agent_cpu: Slope,
    /// Copies of a change at an agent against its entries.
    pub change_copies: Slope,
}

/// Slopes and their product at the planned size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Where and when the slopes were measured.
    pub machine: Machine,
    /// The slopes.
    pub slopes: Slopes,
    /// Claimed calls that one entry carried in a second.
    pub claims_per_second: f64,
    /// Connections at the planned size.
    pub connections: Connections,
    /// The product.
    pub lines: Vec<Line>,
    /// Heartbeats with other settings.
    pub variants: Vec<Variant>,
}

/// Measures everything.
///
/// # Errors
///
/// Returns an error when a process fails.
pub async fn measure() -> Result<CapacityReport, StackError> {
    let machine = Machine::describe();
    let [agent_attempt, agent_core_memory] = decisions::agent_attempts();
    let [entry_cpu, entry_memory, link_bytes] = links::by_agents().await?;
    let [agent_cpu, agent_memory, gossip_bytes, platform_reads] = links::by_entries().await?;
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
    let lines = product::lines(&slopes, connections);
    let variants = product::variants(&slopes);
    let claims_per_second = costs.claims_per_second;
    Ok(CapacityReport { machine, slopes, claims_per_second, connections, lines, variants })
}

impl Slopes {
    /// Lists all slopes.
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
    /// Formats the tables in Markdown.
    pub fn table(&self) -> String {
        let mut table = format!("{}\n\n", self.machine);
        self.write_slopes(&mut table);
        self.write_lines(&mut table);
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
                points(slope),
                number(slope.fit.base),
                number(slope.fit.slope),
                slope.fit.r_squared
            );
        }
        let claims = self.claims_per_second;
        let _ = writeln!(table, "\nclaimed calls through one entry: {claims:.0} a second\n");
    }

    fn write_lines(&self, table: &mut String) {
        let _ = writeln!(table, "| role | item | amount | unit | limit | times the limit |");
        let _ = writeln!(table, "|---|---|---:|---|---:|---:|");
        for line in &self.lines {
            let (limit, times) = match line.budget {
                Some(budget) => (number(budget), format!("{:.2}", line.amount / budget)),
                None => ("-".to_owned(), "-".to_owned()),
            };
            let amount = number(line.amount);
            let (role, item, unit) = (&line.role, &line.item, &line.unit);
            let _ = writeln!(table, "| {role} | {item} | {amount} | {unit} | {limit} | {times} |");
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
                number(variant.connections.agents_per_entry),
                number(variant.connections.entries_per_agent),
                number(variant.entry_bytes),
                number(variant.agent_bytes),
                number(variant.entry_cpu_us)
            );
        }
    }
}

fn points(slope: &Slope) -> String {
    let mut text = String::new();
    for point in &slope.points {
        if !text.is_empty() {
            text.push_str(", ");
        }
        let _ = write!(text, "{}: {}", number(point.size), number(point.value));
    }
    text
}

/// Formats a number with about three significant digits.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000_000.0 => format!("{:.2}M", value / 1_000_000.0),
        size if size >= 10_000.0 => format!("{:.1}k", value / 1_000.0),
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
