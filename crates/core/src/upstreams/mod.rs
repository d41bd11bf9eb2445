//! Upstreams that an entry calls directly, without an agent: their state and the choice among them.
//!
//! The platform's list tells which upstreams exist, are leaving or are cold. The results of calls take
//! precedence over it: an upstream backs off for a short time after a failed connection, and failures
//! and latency lower its preference. Several entries share the limits of an upstream without
//! coordinating each request: every entry keeps to its share.

mod balance;
mod calls;
mod choose;
mod cold;
mod departure;
mod directory;
mod evacuation;
mod former_runs;
mod memory;
mod memory_shares;
mod pace;
mod platform_lists;
mod record;
mod request_limits;
mod response_ends;
mod rest;
mod rollouts;
mod slowdown;
mod version_history;

pub(crate) use balance::{Balance, Occupancy};
pub use calls::EarliestReturn;
pub use choose::{Affinity, SelectionCriteria};
pub use cold::{ColdLimit, ColdShare};
pub use departure::LeavingUpstream;
pub(crate) use departure::{Demands, Departures};
pub use directory::{ListUpdate, RestoreSabotage, Upstreams, UpstreamsSettings};
pub(crate) use directory::{rank_among, rendezvous_weight};
pub(crate) use evacuation::Evacuations;
pub use evacuation::{Evacuation, HeldEvacuation};
pub(crate) use former_runs::FormerRuns;
pub(crate) use memory::{HeldMemory, ModelMemory};
pub use memory::{MemoryShortage, MemoryUse, TokenDemand};
pub(crate) use pace::Pace;
pub use pace::{FirstEventKey, SlowUpstream};
pub use platform_lists::{ListCorrections, ListRevisions, PlatformLists};
pub use record::{CallEnd, Load, Upstream, UpstreamKey, UpstreamRecord};
pub use request_limits::ReportedLimit;
pub use response_ends::{LONG_CONFIRMATION_MS, ResponseEnds};
pub(crate) use rest::Rest;
pub use rest::RestRequest;
pub(crate) use version_history::VersionHistory;
pub use version_history::{FormerVersion, ReportedVersions};

#[cfg(test)]
mod tests;
