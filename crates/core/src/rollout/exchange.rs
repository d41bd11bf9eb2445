//! What entries tell the owner of a roll-out, and what it tells them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rollout::{RolloutOrder, RolloutState};

/// Number of buckets of a slowness histogram. Bucket `i` holds ratios from `2^((i - 4) / 2)` up to the
/// lower bound of the next one; the first and the last one are open.
pub const SLOWNESS_BUCKETS: usize = 24;

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// No upstream of the new version is warm yet.
    Warming,
    /// A small part of the requests goes to a few upstreams of the new version.
    Canary,
    /// Each of these upstreams receives as much as one of the old version.
    Ramp,
    /// All new requests go to the new version.
    Switch,
    /// The verdict is that the new version stays.
    Completed,
    /// The verdict is that the old version stays.
    RolledBack,
}

/// Cumulative counts of the answers of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Complete answers, failures included.
    pub total: u32,
    /// Answers that were failures of the upstream.
    pub failed: u32,
    /// Successful answers by the ratio of their time to the nominal one.
    pub by_slowness: [u32; SLOWNESS_BUCKETS],
}

/// Answers on one route, of both versions at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Name of the route; that of the stage service for stage calls.
    pub route: Arc<str>,
    /// Answers of the old version.
    pub old: Answers,
    /// Answers of the new version.
    pub new: Answers,
}

/// Answers of one upstream of the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Its answers on all routes.
    pub answers: Answers,
}

/// What one entry knows of a roll-out; all counts are cumulative since it learned of the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The order.
    pub order: RolloutOrder,
    /// Name of the reporting entry.
    pub entry: Arc<str>,
    /// Differs between the runs of an entry, whose counts add up.
    pub incarnation: u64,
    /// Age of the order as far as the entry knows, in milliseconds.
    pub age_ms: u64,
    /// Phase that the entry acts on.
    pub phase: RolloutPhase,
    /// Requests, streams, stage calls and stage results that need an upstream of the old version.
    pub old_in_use: u32,
    /// Verdict in the platform as the entry knows it.
    pub standing_verdict: Option<RolloutState>,
    /// Calls started at the service, of both versions.
    pub started: u64,
    /// Calls started at the new version.
    pub new_started: u64,
    /// 99th percentile of the time that a call to the service takes to its end, in milliseconds.
    pub usual_duration_ms: u64,
    /// Evidence by route.
    pub routes: Vec<RouteEvidence>,
    /// Evidence by upstream of the new version, at most 16.
    pub upstreams: Vec<UpstreamEvidence>,
}

/// What the owner of a roll-out tells the entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutDirective {
    /// The order.
    pub order: RolloutOrder,
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Part of new requests that goes to the new version, from 0 to 1.
    pub share: f64,
    /// Identifiers of the new upstreams that receive it; all of them if empty.
    pub canary: Vec<String>,
    /// Age of the order, in milliseconds.
    pub age_ms: u64,
}
