//! Random plan of the calls of a load: start time, kind and customer of each call.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Microseconds in a second.
const US_PER_SECOND: f64 = 1_000_000.0;

/// Kind of request that a call sends to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A pipeline request whose response is one JSON document.
    PipelinePlain,
    /// A pipeline request whose response is a stream of server-sent events.
    PipelineStreamed,
    /// An idempotent service call.
    ServiceRead,
    /// A service call that may run at most once and has an idempotency key.
    ServiceWrite,
}

/// Weight of a call kind in a mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindWeight {
    /// Kind of the calls.
    pub kind: CallKind,
    /// Weight, relative to the sum of all weights.
    pub weight: u32,
}

/// Weight of a customer in a mix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerWeight {
    /// Name of the customer.
    pub name: String,
    /// Weight, relative to the sum of all weights.
    pub weight: u32,
}

/// Distribution of calls over kinds and customers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mix {
    /// Weights of the call kinds.
    pub kinds: Vec<KindWeight>,
    /// Weights of the customers.
    pub customers: Vec<CustomerWeight>,
}

/// A period during which calls start at a constant mean rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Mean number of calls per second.
    pub rate_per_second: f64,
    /// Distribution of the calls over kinds and customers.
    pub mix: Mix,
}

/// One call of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Index in the plan, which makes every request unique.
    pub number: u64,
    /// Planned start, in microseconds after the start of the load.
    pub at_us: u64,
    /// Kind of request.
    pub kind: CallKind,
    /// Customer on whose behalf the call is made.
    pub customer: String,
}

impl Mix {
    /// Creates a mix from the weights of call kinds and customers.
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

    /// Creates a mix of all call kinds for the customers of the demo document.
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

/// Draws the calls of all phases; the same phases and seed give the same plan.
///
/// Times between calls are exponentially distributed, like those of independent callers.
pub fn plan(phases: &[Phase], seed: u64) -> Vec<PlannedCall> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut phase_start_us = 0.0;
    for phase in phases {
        let phase_end_us = phase_start_us + phase.seconds * US_PER_SECOND;
        let mut at_us = next_us(&mut rng, phase, phase_start_us);
        while at_us < phase_end_us {
            calls.push(PlannedCall {
                number: calls.len() as u64,
                at_us: at_us as u64,
                kind: draw_kind(&mut rng, &phase.mix),
                customer: draw_customer(&mut rng, &phase.mix),
            });
            at_us = next_us(&mut rng, phase, at_us);
        }
        phase_start_us = phase_end_us;
    }
    calls
}

/// Draws the start of the call that follows one at `after_us`; infinite if the rate is zero.
fn next_us(rng: &mut StdRng, phase: &Phase, after_us: f64) -> f64 {
    let uniform: f64 = rng.random();
    after_us - (1.0 - uniform).ln() / phase.rate_per_second * US_PER_SECOND
}

fn draw_kind(rng: &mut StdRng, mix: &Mix) -> CallKind {
    let weights: Vec<u32> = mix.kinds.iter().map(|it| it.weight).collect();
    mix.kinds[draw(rng, &weights)].kind
}

fn draw_customer(rng: &mut StdRng, mix: &Mix) -> String {
    let weights: Vec<u32> = mix.customers.iter().map(|it| it.weight).collect();
    mix.customers[draw(rng, &weights)].name.clone()
}

/// Draws an index with a probability in proportion to its weight.
fn draw(rng: &mut StdRng, weights: &[u32]) -> usize {
    let total: u32 = weights.iter().sum();
    let mut number = rng.random_range(0..total.max(1));
    for (index, weight) in weights.iter().enumerate() {
        if number < *weight {
            return index;
        }
        number -= weight;
    }
    0
}
