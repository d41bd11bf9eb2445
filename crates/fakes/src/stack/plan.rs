//! What a stack consists of.

use yuccatrail_core::document::PoolKind;

use crate::upstream::state::UpstreamSwitches;

/// Data centres of every stack.
pub const DATA_CENTRES: [&str; 2] = ["north", "south"];
/// Pools of the demo document.
pub const DEMO_POOLS: [&str; 5] = ["encoders", "retrievers", "rerankers", "engines", SERVICE_POOL];
/// Pool of the demo document's plain service.
const SERVICE_POOL: &str = "work-orders";

/// Parts of a stack.
#[derive(Clone, Debug)]
pub struct StackPlan {
    /// Environment document.
    pub document: String,
    /// Data centres of the entries, one for each entry.
    pub entries: Vec<String>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamPlan>,
}

/// One upstream with its agent.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Name of the instance.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Data centre.
    pub data_centre: String,
    /// Behaviour of the stand-in.
    pub switches: UpstreamSwitches,
}

/// The four-stage document that demonstrations and tests use.
pub const DEMO_DOCUMENT: &str = include_str!("demo.toml");

/// A document with a pipeline of two stages and one service, for tests of faults.
pub const SHORT_DOCUMENT: &str = include_str!("short.toml");

impl StackPlan {
    /// Plans two entries and two upstreams for each pool of the demo document.
    pub fn demo() -> Self {
        Self::sized(2, 2)
    }

    /// Plans entries and upstreams for each pool of the demo document, in two data centres in turn.
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

    /// Plans one entry and upstreams of the demo document's service pool alone.
    pub fn service_only(upstreams: usize) -> Self {
        let upstreams = (0..upstreams).map(|it| UpstreamPlan::new(SERVICE_POOL, it)).collect();
        let entries = vec![data_centre(0).to_owned()];
        Self { document: DEMO_DOCUMENT.to_owned(), entries, upstreams }
    }

    /// Plans two entries and the given number of upstreams of each pool of the short document.
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

    /// Applies a change to the switches of every upstream of a pool.
    pub fn change_pool_switches(&mut self, pool: &str, change: impl Fn(&mut UpstreamSwitches)) {
        for upstream in &mut self.upstreams {
            if upstream.pool == pool {
                change(&mut upstream.switches);
            }
        }
    }
}

impl UpstreamPlan {
    /// Plans upstream `number` of a pool; data centres take turns.
    pub fn new(pool: &str, number: usize) -> Self {
        Self {
            name: format!("{pool}-{number}"),
            pool: pool.to_owned(),
            data_centre: data_centre(number).to_owned(),
            switches: UpstreamSwitches::default(),
        }
    }
}

/// Returns the data centre of the instance `number` of a kind.
pub fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

/// Kinds of the demo pipeline's stages, in order.
pub const DEMO_STAGES: [PoolKind; 4] =
    [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank, PoolKind::Generate];
