//! Scenarios: load over time and changes of the fleet.

use crate::model::{
    US_PER_S,
    fleet::{Fleet, GENERATE},
};

/// A constant load, which lasts until a point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) until_s: u64,
    /// Arrival rate as a multiple of the capacity of the fleet.
    pub(crate) load: f64,
}

/// A change of the fleet at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    /// Multiplies the call durations of every `every`-th upstream of a pool, from the first on, by
    /// `factor`.
    Slow { pool: usize, every: usize, factor: f64 },
    /// Restarts all upstreams of a pool, which are cold afterwards.
    Restart { pool: usize },
    /// Takes a data centre out of service or returns it.
    DataCentre { data_centre: usize, out: bool },
}

/// How arrivals are distributed over customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Demand {
    /// In proportion to the shares.
    ByShare,
    /// Small customers send at most this fraction of their share of the capacity; large customers
    /// send the rest.
    SmallWithin(f64),
    /// All customers but the first send at most this fraction of their share of the capacity; the
    /// first customer sends the rest.
    Flood(f64),
}

/// Load over time and the changes of the fleet during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in the results.
    pub name: &'static str,
    pub(crate) phases: Vec<Phase>,
    pub(crate) demand: Demand,
    pub(crate) changes: Vec<(u64, Change)>,
    /// Measurement window: start and end in seconds.
    pub(crate) measured_s: (u64, u64),
}

impl Scenario {
    pub(crate) fn end_us(&self) -> u64 {
        self.phases.last().map_or(0, |it| it.until_s * US_PER_S)
    }

    pub(crate) fn load_at(&self, now_us: u64) -> f64 {
        let phase = self.phases.iter().find(|it| now_us < it.until_s * US_PER_S);
        phase.map_or(0.0, |it| it.load)
    }

    /// Returns the fraction of the arrivals that a customer sends at a load.
    pub(crate) fn arrival_fraction(&self, fleet: &Fleet, customer: usize, load: f64) -> f64 {
        let total: u32 = fleet.customers.iter().map(|it| it.share).sum();
        let share_of = |it: usize| f64::from(fleet.customers[it].share) / f64::from(total);
        let limit = match self.demand {
            Demand::ByShare => return share_of(customer),
            Demand::SmallWithin(fraction) | Demand::Flood(fraction) => fraction,
        };

        let is_flood = matches!(self.demand, Demand::Flood(_));
        let sends_rest = |it: usize| if is_flood { it == 0 } else { fleet.customers[it].share > 1 };
        let fixed = |it: usize| (limit * share_of(it) / load).min(share_of(it));
        if !sends_rest(customer) {
            return fixed(customer);
        }
        let all_customers = 0..fleet.customers.len();
        let others: f64 = all_customers.clone().filter(|it| !sends_rest(*it)).map(fixed).sum();
        (1.0 - others) / all_customers.filter(|it| sends_rest(*it)).count() as f64
    }
}

/// Returns all scenarios, in the order in which they run.
pub fn scenarios() -> Vec<Scenario> {
    let constant = |load| vec![Phase { until_s: 70, load }];
    let scenario = |name, phases, changes| Scenario {
        name,
        phases,
        demand: Demand::ByShare,
        changes,
        measured_s: (10, 70),
    };
    let backlog = vec![
        Phase { until_s: 10, load: 0.5 },
        Phase { until_s: 70, load: 3.0 },
        Phase { until_s: 100, load: 0.5 },
    ];
    let slow = Change::Slow { pool: GENERATE, every: 3, factor: 10.0 };
    let slow_rerank = Change::Slow { pool: GENERATE - 1, every: 3, factor: 10.0 };
    let out = |out| Change::DataCentre { data_centre: 0, out };

    vec![
        scenario("steady-50", constant(0.5), vec![]),
        scenario("steady-70", constant(0.7), vec![]),
        scenario("steady-90", constant(0.9), vec![]),
        Scenario {
            demand: Demand::SmallWithin(0.8),
            ..scenario("monday-backlog", backlog.clone(), vec![])
        },
        scenario("monday-all", backlog, vec![]),
        Scenario { demand: Demand::Flood(0.8), ..scenario("flood", constant(3.0), vec![]) },
        scenario("slow-generate", constant(0.5), vec![(20, slow)]),
        scenario("slow-rerank", constant(0.5), vec![(20, slow_rerank)]),
        scenario("cold-pool", constant(0.5), vec![(20, Change::Restart { pool: GENERATE })]),
        Scenario {
            measured_s: (30, 70),
            ..scenario("data-centre-out", constant(1.5), vec![(30, out(true)), (55, out(false))])
        },
        Scenario {
            measured_s: (30, 70),
            ..scenario("data-centre-absent", constant(1.5), vec![(0, out(true))])
        },
    ]
}
