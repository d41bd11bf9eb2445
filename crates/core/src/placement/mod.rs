//! Placement of models on upstreams: a lease elects one writer, and fencing tokens guard commands.
//!
//! The entry that holds the [`Lease`] through its [`LeaseManager`] writes the [`DesiredPool`] of
//! each pool. Only the agent of an upstream sends it commands, and the agent's [`FenceGuard`]
//! rejects commands with an outdated fencing token.

mod desired;
mod fence;
mod lease;
mod lease_manager;
mod sabotage;

#[cfg(test)]
mod tests;

pub use desired::{
    Command, CommandAction, DesiredPool, ObservedUpstream, Role, RoleCounts, plan_commands,
};
pub use fence::{FenceError, FenceGuard};
pub use lease::{FencingToken, HolderId, Lease};
pub use lease_manager::{LeaseAction, LeaseEvent, LeaseManager, LeaseSettings};
pub use sabotage::Sabotage;
