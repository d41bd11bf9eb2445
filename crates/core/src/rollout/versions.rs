//! Software versions of a service that may be used without an order.
//!
//! A version that appears beside an older one receives no calls before its order is known, or could have
//! been. In a release without an order, the older upstreams leave; that some do and no order comes shows
//! such a release sooner.

use std::sync::Arc;

use crate::{FastMap, FastSet};

/// Time for which fewer older upstreams must have served without an order until a newer version is
/// used, in milliseconds; the order of a roll-out is known earlier.
const RELEASE_DELAY_MS: u64 = 1_000;
/// Time after which a version is used whose order is not known, in milliseconds; an order is in force
/// earlier. Otherwise an entry that starts after a release of half of the upstreams would leave them idle.
const ORDER_DELAY_MS: u64 = 3_000;

/// Upstreams of one version that don't leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListedVersion {
    pub(crate) version: Arc<str>,
    /// Identifier and slots of each upstream.
    pub(crate) upstreams: Vec<(String, u32)>,
    /// Earliest start of one of them, in milliseconds since the Unix epoch.
    pub(crate) started_unix_ms: Option<i64>,
}

/// A version that waits for its order or for the older upstreams to leave.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Time at which the version appeared, in milliseconds.
    since_ms: u64,
    /// Largest number of older upstreams that served since the version appeared.
    most_older: usize,
    /// Time since which there are fewer, in milliseconds.
    fewer_since_ms: Option<u64>,
}

impl Waiting {
    fn has_ended(&self, now_ms: u64) -> bool {
        let is_release = self.fewer_since_ms.is_some_and(|it| it + RELEASE_DELAY_MS <= now_ms);
        is_release || self.since_ms + ORDER_DELAY_MS <= now_ms
    }
}

/// Versions of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionGate {
    listed: Vec<ListedVersion>,
    allowed: FastSet<Arc<str>>,
    /// Whether the allowed versions were derived from start times, because several were listed first and
    /// no order was known.
    is_derived: bool,
    /// Versions whose orders were removed or rolled back, and those that a completed order replaced.
    withdrawn: FastSet<Arc<str>>,
    waiting: FastMap<Arc<str>, Waiting>,
}

impl VersionGate {
    /// Applies the versions that are listed now. The version of an order that is not completed, `to`,
    /// is not allowed as a consequence of it.
    pub(crate) fn observe(&mut self, listed: Vec<ListedVersion>, to: Option<&str>, now_ms: u64) {
        self.listed = listed;
        self.evaluate(to, now_ms);
    }

    /// Allows other versions once none that is allowed serves, and counts the older upstreams beside
    /// versions that wait.
    pub(crate) fn evaluate(&mut self, to: Option<&str>, now_ms: u64) {
        if self.allowed_upstreams() == 0 {
            self.allow_oldest(to);
        }
        let older = self.allowed_upstreams();
        let mut waiting = FastMap::default();
        for listed in &self.listed {
            let version = &listed.version;
            let is_decided = self.allowed.contains(version) || self.withdrawn.contains(version);
            if is_decided || to == Some(version.as_ref()) {
                continue;
            }
            let known = self.waiting.get(version).copied();
            let new = Waiting { since_ms: now_ms, most_older: older, fewer_since_ms: None };
            let mut state = known.unwrap_or(new);
            if older < state.most_older {
                state.fewer_since_ms.get_or_insert(now_ms);
            } else if !state.has_ended(now_ms) {
                state = Waiting { most_older: older, fewer_since_ms: None, ..state };
            }
            waiting.insert(version.clone(), state);
        }
        self.waiting = waiting;
    }

    fn allow_oldest(&mut self, to: Option<&str>) {
        let others = self.listed.iter().filter(|it| to != Some(it.version.as_ref()));
        let (withdrawn, usable): (Vec<&ListedVersion>, Vec<&ListedVersion>) =
            others.partition(|it| self.withdrawn.contains(&it.version));
        let candidates = if usable.is_empty() { withdrawn } else { usable };
        let Some(earliest) = candidates.iter().map(|it| it.started_unix_ms).min() else { return };
        self.is_derived = to.is_none() && self.allowed.is_empty() && self.listed.len() > 1;
        for candidate in candidates {
            if candidate.started_unix_ms == earliest {
                self.allowed.insert(candidate.version.clone());
                self.withdrawn.remove(&candidate.version);
            }
        }
    }

    fn allowed_upstreams(&self) -> usize {
        let allowed = self.listed.iter().filter(|it| self.allowed.contains(&it.version));
        allowed.map(|it| it.upstreams.len()).sum()
    }

    /// Tells whether a version may be used without an order.
    pub(crate) fn admits(&self, version: &str, now_ms: u64) -> bool {
        let has_ended = self.waiting.get(version).is_some_and(|it| it.has_ended(now_ms));
        self.allowed.is_empty() || self.allowed.contains(version) || has_ended
    }

    /// Tells whether upstreams of an allowed version other than `to` serve.
    pub(crate) fn has_older(&self, to: &str) -> bool {
        self.listed.iter().any(|it| it.version.as_ref() != to && self.allowed.contains(&it.version))
    }

    /// Returns the part of the service's slots that the canary has, or all upstreams of the version
    /// `to` if it is empty.
    pub(crate) fn canary_part(&self, to: &str, canary: &[String]) -> f64 {
        let (mut new, mut old) = (0, 0);
        for listed in &self.listed {
            let is_new = listed.version.as_ref() == to;
            for (id, slots) in &listed.upstreams {
                if !is_new && self.allowed.contains(&listed.version) {
                    old += (*slots).max(1);
                } else if is_new && (canary.is_empty() || canary.contains(id)) {
                    new += (*slots).max(1);
                }
            }
        }
        f64::from(new) / f64::from((new + old).max(1))
    }

    /// Applies that the order to move to a version is known.
    pub(crate) fn begin_order(&mut self, to: &str, now_ms: u64) {
        let is_older = |it: &ListedVersion| {
            it.version.as_ref() != to && (self.is_derived || self.allowed.contains(&it.version))
        };
        if self.listed.iter().any(is_older) {
            self.allowed.remove(to);
        }
        self.is_derived = false;
        self.evaluate(Some(to), now_ms);
    }

    /// Applies that the order has completed.
    pub(crate) fn complete(&mut self, to: &Arc<str>, now_ms: u64) {
        self.withdrawn.extend(self.listed.iter().map(|it| it.version.clone()));
        self.withdrawn.extend(self.allowed.drain());
        self.withdrawn.remove(to);
        self.allowed.insert(to.clone());
        self.evaluate(None, now_ms);
    }

    /// Applies that the order was removed, replaced or rolled back; `to` is its version as long as it
    /// must not be used even if no other version serves.
    pub(crate) fn withdraw(&mut self, version: &Arc<str>, to: Option<&str>, now_ms: u64) {
        if !self.allowed.contains(version) {
            self.withdrawn.insert(version.clone());
        }
        self.evaluate(to, now_ms);
    }
}
