//! What a stack consists of.

use yuccatrail_core::document::PoolKind;

use crate::upstream::state::Switches;

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
    pub switches: Switches,
}

/// The four-stage document that demonstrations and tests use.
pub const DEMO_DOCUMENT: &str = include_str!("demo.toml");

/// A document with a pipeline of two stages and one service, for tests of faults.
pub const SHORT_DOCUMENT: &str = include_str!("short.toml");

impl StackPlan {
    /// Plans two entries and two upstreams for each pool of the demo document.
    pub fn demo() -> Self {
        let mut upstreams = Vec::new();
        for pool in ["encoders", "retrievers", "rerankers", "engines", "work-orders"] {
            for (number, data_centre) in ["north", "south"].into_iter().enumerate() {
                upstreams.push(UpstreamPlan {
                    name: format!("{pool}-{number}"),
                    pool: pool.to_owned(),
                    data_centre: data_centre.to_owned(),
                    switches: Switches::default(),
                });
            }
        }
        let entries = vec!["north".to_owned(), "south".to_owned()];
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
                    switches: Switches { log_calls: true, ..Switches::default() },
                });
            }
        }
        let entries = data_centres.map(str::to_owned).to_vec();
        Self { document: SHORT_DOCUMENT.to_owned(), entries, upstreams }
    }

    /// Applies a change to the switches of every upstream of a pool.
    pub fn switch_pool(&mut self, pool: &str, change: impl Fn(&mut Switches)) {
        for upstream in &mut self.upstreams {
            if upstream.pool == pool {
                change(&mut upstream.switches);
            }
        }
    }
}

/// Kinds of the demo pipeline's stages, in order.
pub const DEMO_STAGES: [PoolKind; 4] =
    [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank, PoolKind::Generate];
