//! Placement of models on upstreams: one writer by lease, orders guarded by fencing numbers.
//!
//! An entry that holds the [`Lease`] through its [`LeaseKeeper`] writes the [`DesiredPool`] of each
//! pool. Each agent alone gives its upstream orders, and its [`FenceGuard`] refuses orders that
//! carry an old fencing number.

mod desired;
mod fence;
mod keeper;
mod lease;
mod sabotage;

#[cfg(test)]
mod tests;

pub use desired::{
    DesiredPool, ObservedUpstream, Order, OrderAction, Role, RoleCounts, orders_for_pool,
};
pub use fence::{FenceGuard, FenceRefusal};
pub use keeper::{LeaseAction, LeaseEvent, LeaseKeeper, LeaseSettings};
pub use lease::{FencingNumber, HolderToken, Lease};
pub use sabotage::Sabotage;
