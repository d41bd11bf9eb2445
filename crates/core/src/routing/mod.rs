//! Choice of the upstream that an attempt is sent to.
//!
//! The entry keeps a [`PoolView`] per pool: the load that replies carried, the attempts sent since,
//! the health of each upstream and hints about cached prompt prefixes. [`choose`] picks among the
//! candidates of that view.

mod choose;
mod health;
mod hints;
mod pool;
#[cfg(test)]
mod tests;

use slotmap::new_key_type;

#[cfg(feature = "sabotage")]
pub use crate::routing::pool::Sabotage;
pub use crate::routing::{
    choose::{
        Candidate, Choice, ChoiceContext, ChoiceError, ChoiceReason, Policy, RandomNumbers, choose,
    },
    health::{Health, HealthStatus},
    hints::{CacheEvent, PrefixHints},
    pool::{AttemptEnd, LoadReport, PoolLoad, PoolView},
};

new_key_type! {
    /// Identifies an upstream within one entry.
    pub struct UpstreamKey;
}
