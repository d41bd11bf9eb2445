//! Load balancing: selection of the upstream that an attempt is sent to.
//!
//! The entry keeps a [`PoolView`] per pool, with the load from the last replies, the attempts sent
//! since then, the health of each upstream and hints about cached prompt prefixes. [`choose`]
//! selects among the candidates of that view.

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
    /// Key of an upstream in a [`PoolView`].
    pub struct UpstreamKey;
}
