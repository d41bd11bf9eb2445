//! Seeded plan of the calls of a load: when each starts, what it asks and for whom.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;

/// What a call asks of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A pipeline request that is answered with one JSON document.
    PipelinePlain,
    /// A pipeline request that is answered with server-sent events.
    PipelineStreamed,
    /// A service call that may be repeated.
    ServiceRead,
    /// A service call that may run at most once, with an idempotency key.
    ServiceWrite,
}

/// A call kind with its share of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindWeight {
    /// The kind.
    pub kind: CallKind,
    /// Share, relative to the sum of all shares.
    pub weight: u32,
}

/// A customer with its share of the calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerWeight {
    /// Name of the customer.
    pub name: String,
    /// Share, relative to the sum of all shares.
    pub weight: u32,
}

/// Shares of call kinds and customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mix {
    /// Shares of the call kinds.
    pub kinds: Vec<KindWeight>,
    /// Shares of the customers.
    pub customers: Vec<CustomerWeight>,
}

/// A time during which calls arrive at one rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Mean number of calls a second.
    pub rate_per_second: f64,
    /// Shares of call kinds and customers.
    pub mix: Mix,
}

/// One call of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Position in the plan, which makes every request distinct.
    pub number: u64,
    /// Intended start after the start of the load, in microseconds.
    pub at_us: u64,
    /// What the call asks.
    pub kind: CallKind,
    /// Customer on whose behalf it is made.
    pub customer: String,
}

impl Mix {
    /// Creates a mix from the shares of kinds and customers.
    pub fn new(kinds: &[(CallKind, u32)], customers: &[(&str, u32)]) -> Self {
        let mut mix = Self { kinds: Vec::new(), customers: Vec::new() };
        for &(kind, weight) in kinds {
            mix.kinds.push(KindWeight { kind, weight });
        }
        for &(name, weight) in customers {
            mix.customers.push(CustomerWeight { name: name.to_owned(), weight });
        }
        mix
    }

    /// Mixes all kinds of calls for the customers of the demo document.
    pub fn demo() -> Self {
        let kinds = [
            (CallKind::PipelinePlain, 3),
            (CallKind::PipelineStreamed, 3),
            (CallKind::ServiceRead, 3),
            (CallKind::ServiceWrite, 1),
        ];
        Self::new(&kinds, &[("lone-star", 4), ("hill-country", 1)])
    }
}

/// Draws the calls of all phases; the same seed gives the same plan.
///
/// Times between calls are exponentially distributed, as those of independent callers.
pub fn plan(phases: &[Phase], seed: u64) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut phase_start_us = 0.0;
    for phase in phases {
        let phase_end_us = phase_start_us + phase.seconds * US_PER_SECOND;
        let mut at_us = next_us(&mut random, phase, phase_start_us);
        while at_us < phase_end_us {
            calls.push(PlannedCall {
                number: calls.len() as u64,
                at_us: at_us as u64,
                kind: draw_kind(&mut random, &phase.mix),
                customer: draw_customer(&mut random, &phase.mix),
            });
            at_us = next_us(&mut random, phase, at_us);
        }
        phase_start_us = phase_end_us;
    }
    calls
}

/// Returns the time of the call that follows one at `after_us`; it is infinite at a rate of zero.
fn next_us(random: &mut StdRng, phase: &Phase, after_us: f64) -> f64 {
    let uniform: f64 = random.random();
    after_us - (1.0 - uniform).ln() / phase.rate_per_second * US_PER_SECOND
}

fn draw_kind(random: &mut StdRng, mix: &Mix) -> CallKind {
    let weights: Vec<u32> = mix.kinds.iter().map(|it| it.weight).collect();
    mix.kinds[draw(random, &weights)].kind
}

fn draw_customer(random: &mut StdRng, mix: &Mix) -> String {
    let weights: Vec<u32> = mix.customers.iter().map(|it| it.weight).collect();
    mix.customers[draw(random, &weights)].name.clone()
}

/// Draws a position with a probability in proportion to its weight.
fn draw(random: &mut StdRng, weights: &[u32]) -> usize {
    let total: u32 = weights.iter().sum();
    let mut number = random.random_range(0..total.max(1));
    for (index, weight) in weights.iter().enumerate() {
        if number < *weight {
            return index;
        }
        number -= weight;
    }
    0
}
