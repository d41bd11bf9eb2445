//! Upstreams that an entry calls without an agent: what is known of each, and which one to call.
//!
//! The platform's list says which upstreams exist, leave or are cold. What calls really got goes
//! before it: a failed connection takes an upstream out for a short time, failures and latency make
//! others preferred. Several entries share the limits of an upstream without talking about each
//! request: every entry keeps to its part of them.

mod platform_lists;
mod choose;
mod cold;
mod directory;
mod record;

pub use choose::{Affinity, SelectionCriteria};
pub use cold::{ColdLimit, ColdShare};
pub(crate) use directory::rendezvous_weight;
pub use directory::{ListUpdate, Upstreams, UpstreamsSettings};
pub use platform_lists::{ListRevisions, PlatformLists};
pub use record::{CallEnd, Load, Upstream, UpstreamKey, UpstreamRecord};

#[cfg(test)]
mod tests;
