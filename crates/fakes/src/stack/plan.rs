//! Plan of a stack: its environment document, entries and upstreams.

use yuccatrail_core::document::PoolKind;

use crate::upstream::state::UpstreamSwitches;

/// Data centres over which instances are spread.
pub const DATA_CENTRES: [&str; 2] = ["north", "south"];
/// Names of the pools in the demo document.
pub const DEMO_POOLS: [&str; 5] = ["encoders", "retrievers", "rerankers", "engines", SERVICE_POOL];
/// Pool of the plain service in the demo document.
const SERVICE_POOL: &str = "work-orders";

/// Processes of a stack and the environment document that they start with.
#[derive(Clone, Debug)]
pub struct StackPlan {
    /// Environment document, in TOML.
    pub document: String,
    /// Data centre of each entry.
    pub entries: Vec<String>,
    /// Upstreams, each with an agent.
    pub upstreams: Vec<UpstreamPlan>,
}

/// Plan of one upstream and its agent.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Name of the instance in the platform's list.
    pub name: String,
    /// Pool that the upstream belongs to.
    pub pool: String,
    /// Data centre that the agent reports.
    pub data_centre: String,
    /// Initial behaviour of the upstream stand-in.
    pub switches: UpstreamSwitches,
}

/// Environment document with a four-stage pipeline, for demonstrations and tests.
pub const DEMO_DOCUMENT: &str = include_str!("demo.toml");

/// Environment document with a two-stage pipeline and one service, for fault tests.
pub const SHORT_DOCUMENT: &str = include_str!("short.toml");

impl StackPlan {
    /// Plans two entries, and two upstreams in each pool of the demo document.
    pub fn demo() -> Self {
        Self::sized(2, 2)
    }

    /// Plans the given numbers of entries and of upstreams in each pool of the demo document,
    /// spread alternately over both data centres.
    pub fn sized(entries: usize, upstreams_per_pool: usize) -> Self {
        let mut upstreams = Vec::new();
        for pool in DEMO_POOLS {
            for number in 0..upstreams_per_pool {
                upstreams.push(UpstreamPlan::new(pool, number));
            }
        }
        let entries = (0..entries).map(|it| data_centre(it).to_owned()).collect();
        Self { document: DEMO_DOCUMENT.to_owned(), entries, upstreams }
    }

    /// Plans one entry and the given number of upstreams in the service pool of the demo document
    /// only.
    pub fn service_only(upstreams: usize) -> Self {
        let upstreams = (0..upstreams).map(|it| UpstreamPlan::new(SERVICE_POOL, it)).collect();
        let entries = vec![data_centre(0).to_owned()];
        Self { document: DEMO_DOCUMENT.to_owned(), entries, upstreams }
    }

    /// Plans two entries and the given number of upstreams in each pool of [`SHORT_DOCUMENT`].
    pub fn short(pools: &[(&str, usize)]) -> Self {
        let data_centres = ["north", "south"];
        let mut upstreams = Vec::new();
        for (pool, count) in pools {
            for number in 0..*count {
                upstreams.push(UpstreamPlan {
                    name: format!("{pool}-{number}"),
                    pool: (*pool).to_owned(),
                    data_centre: data_centres[number % data_centres.len()].to_owned(),
                    switches: UpstreamSwitches { log_calls: true, ..UpstreamSwitches::default() },
                });
            }
        }
        let entries = data_centres.map(str::to_owned).to_vec();
        Self { document: SHORT_DOCUMENT.to_owned(), entries, upstreams }
    }

    /// Changes the switches of every upstream in a pool.
    pub fn change_pool_switches(&mut self, pool: &str, change: impl Fn(&mut UpstreamSwitches)) {
        for upstream in &mut self.upstreams {
            if upstream.pool == pool {
                change(&mut upstream.switches);
            }
        }
    }
}

impl UpstreamPlan {
    /// Plans upstream `number` of a pool; the data centre alternates with the number.
    pub fn new(pool: &str, number: usize) -> Self {
        Self {
            name: format!("{pool}-{number}"),
            pool: pool.to_owned(),
            data_centre: data_centre(number).to_owned(),
            switches: UpstreamSwitches::default(),
        }
    }
}

/// Returns the data centre of an instance by its number; numbers alternate between data centres.
pub fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

/// Kinds of the stages in the demo pipeline, in order of execution.
pub const DEMO_STAGES: [PoolKind; 4] =
    [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank, PoolKind::Generate];
