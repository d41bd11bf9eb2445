//! Memory of model upstreams, which crash when the requests they hold need more than they have.
//!
//! A burst reaches all entries before any report can show it, so no estimate keeps it from overfilling an
//! upstream. Therefore the entries divide the memory of each upstream into shares that together never
//! exceed it, and every entry counts its own requests exactly. What the upstream reports of the others is
//! an additional check, for requests that no share covers: those of entries that have died or that run
//! without the limit.

mod demand;

use std::sync::Arc;

use crate::{
    FastMap,
    upstreams::{
        Affinity, CallEnd, SelectionCriteria, Upstream, UpstreamKey, Upstreams,
        memory_shares::{held_by, sharing_entries},
    },
};

pub use demand::TokenDemand;

/// Part of the memory that is divided into shares. More need not stay free, since the reserve for outputs is
/// in the demand of each request; with 0.98, a share of an eighth often held two large requests, not three.
const DIVIDED_PART: f64 = 0.995;
/// Time after which an entry that has just learnt of the others uses its shares, in milliseconds. The
/// others learn of it within about that time.
const START_SETTLE_MS: u64 = 1_000;
/// Part of a share above which an entry tells starting ones that memory is scarce: up to that part, what the
/// former holders of a share still hold fits beside the requests of the new one.
const SCARCE_PART: f64 = 0.5;
/// Time after which a share that has grown is used, in milliseconds: requests of the former holder have
/// mostly ended by then.
const GROWTH_SETTLE_MS: u64 = 4_000;
/// Age beyond which a report is ignored, in milliseconds; many requests end in half a second.
const REPORT_MAX_AGE_MS: u64 = 500;
/// Time for which an upstream that rejected a request for lack of capacity is taken to be full, in
/// milliseconds; about twice the age of a report.
const FULL_MS: u64 = 200;
/// Weight of a request in the mean size and duration; low, since large requests come in runs.
const MEAN_WEIGHT: f64 = 0.05;
/// Assumed duration of a request before one has ended, in milliseconds.
const UNKNOWN_HOLD_MS: f64 = 2_000.0;
/// Bounds of the time after which a refused caller may return, in milliseconds: not before a report has
/// been renewed, and within the time that callers usually wait.
const WAIT_MS: std::ops::RangeInclusive<u64> = 100..=5_000;
/// Wait where this entry has no share, in milliseconds; callers return to other entries.
const NO_SHARE_WAIT_MS: u64 = 500;
/// Largest number of refused callers whose return is counted on; bounds the work for a refusal.
const MAX_RETURNS: usize = 1_000;
/// Number of mean requests up to which a prefix always keeps its upstream.
const AFFINITY_BASE_REQUESTS: f64 = 4.0;
/// Multiple of the mean tokens held at the candidates, on top of that, up to which it keeps it.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// Why no upstream takes a request although some could be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// Time after which an upstream is likely to have room, in milliseconds.
    pub wait_ms: u64,
    /// Whether the request exceeds what one entry may hold at any upstream, so that waiting is useless.
    pub is_too_large: bool,
}

/// State of the memory of one service, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// Name of the service.
    pub service: Arc<str>,
    /// Tokens that the requests of this entry hold.
    pub held_tokens: u64,
    /// Tokens that they may hold.
    pub share_tokens: u64,
    /// Age of the oldest report in use, in milliseconds; 0 if none is.
    pub report_age_ms: u64,
}

/// Limits and averages over all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelMemory {
    /// Memory of an upstream in tokens, by service; empty if the limit is disabled.
    limits_tokens: FastMap<Arc<str>, u64>,
    /// Whether entries or limits have changed since the shares were computed.
    pub(crate) is_outdated: bool,
    /// Upstreams that the shares were computed for, by service.
    assigned: FastMap<Arc<str>, Vec<UpstreamKey>>,
    /// Time at which the first shares were computed, in milliseconds.
    started_ms: Option<u64>,
    /// Whether another entry told, before this one used its shares, that it holds much of its own.
    joins_under_load: bool,
    mean_tokens: Option<f64>,
    mean_hold_ms: Option<f64>,
    /// Times at which refused callers have been told to return, in milliseconds.
    returns_ms: Vec<u64>,
}

/// This entry's share of the memory of one upstream, and what its requests hold there.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldMemory {
    share_tokens: u64,
    /// Share that takes effect at `grows_at_ms`, if it is larger.
    next_share_tokens: u64,
    grows_at_ms: u64,
    is_assigned: bool,
    held_tokens: u64,
    holdings: Vec<Holding>,
    /// Requests of other entries in the last report, and its time in milliseconds.
    others: Option<(u32, u64)>,
    full_until_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holding {
    tokens: u64,
    begun_ms: u64,
}

impl Upstreams {
    /// Sets the memory of each upstream in tokens, by service; services that are missing have no limit.
    pub fn set_model_memory(&mut self, limits_tokens: FastMap<Arc<str>, u64>) {
        self.memory.limits_tokens = limits_tokens;
        self.memory.is_outdated = true;
    }

    /// Counts a call that is about to be sent to an upstream, with the tokens that it holds there.
    ///
    /// Returns whether it may be sent; the state may have changed since the upstream was chosen.
    pub fn begin_with(
        &mut self,
        key: UpstreamKey,
        demand: Option<TokenDemand>,
        now_ms: u64,
    ) -> bool {
        if !self.has_memory(key, demand, now_ms) || !self.begin(key, now_ms) {
            return false;
        }
        self.hold_memory(key, demand, now_ms);
        true
    }

    /// Counts the tokens that a call which has just begun holds.
    pub(super) fn hold_memory(
        &mut self,
        key: UpstreamKey,
        demand: Option<TokenDemand>,
        now_ms: u64,
    ) {
        let Some(upstream) = self.all.get_mut(key) else { return };
        let Some(limit_tokens) = self.memory.limit(upstream) else { return };
        let tokens = demanded_tokens(demand, limit_tokens, upstream);
        upstream.memory.held_tokens += tokens;
        upstream.memory.holdings.push(Holding { tokens, begun_ms: now_ms });
        update_mean(&mut self.memory.mean_tokens, tokens as f64);
    }

    /// Applies the end of a call that [`begin_with`](Self::begin_with) counted at `begun_ms`, and releases
    /// the tokens that it held.
    pub fn end_with(
        &mut self,
        key: UpstreamKey,
        demand: Option<TokenDemand>,
        begun_ms: u64,
        end: CallEnd,
        now_ms: u64,
    ) {
        self.release_memory(key, demand, begun_ms, end, now_ms);
        self.end(key, end, now_ms);
    }

    fn release_memory(
        &mut self,
        key: UpstreamKey,
        demand: Option<TokenDemand>,
        begun_ms: u64,
        end: CallEnd,
        now_ms: u64,
    ) {
        let Some(upstream) = self.all.get_mut(key) else { return };
        let Some(limit_tokens) = self.memory.limit(upstream) else {
            // The limit was removed while the call was in progress.
            upstream.memory.holdings.clear();
            upstream.memory.held_tokens = 0;
            return;
        };
        let holding = Holding { tokens: demanded_tokens(demand, limit_tokens, upstream), begun_ms };
        let memory = &mut upstream.memory;
        match end {
            CallEnd::Answered { .. } => {
                let held_ms = now_ms.saturating_sub(begun_ms) as f64;
                update_mean(&mut self.memory.mean_hold_ms, held_ms);
            }
            CallEnd::Shed => memory.full_until_ms = now_ms + FULL_MS,
            // It may have restarted empty.
            CallEnd::Unreachable | CallEnd::Replaced | CallEnd::Failed => memory.others = None,
            CallEnd::Rests | CallEnd::Cancelled => {}
        }
        // A call that began before the limit was set holds nothing.
        if let Some(index) = memory.holdings.iter().position(|it| *it == holding) {
            memory.holdings.swap_remove(index);
            memory.held_tokens -= holding.tokens;
        }
    }

    /// Tells whether an upstream has room for a request; true for services without a limit.
    pub(crate) fn has_memory(
        &self,
        key: UpstreamKey,
        demand: Option<TokenDemand>,
        now_ms: u64,
    ) -> bool {
        let Some(upstream) = self.all.get(key) else { return false };
        let Some(limit_tokens) = self.memory.limit(upstream) else { return true };
        let memory = &upstream.memory;
        let own_tokens = memory.held_tokens + demanded_tokens(demand, limit_tokens, upstream);
        let others_tokens = self.others_tokens(upstream, limit_tokens, now_ms);
        now_ms >= memory.full_until_ms
            && own_tokens <= memory.share_tokens
            && own_tokens.saturating_add(others_tokens) <= limit_tokens
    }

    /// Returns why no upstream takes a request, and counts on its return after the stated wait; none if the
    /// reason is not the memory.
    pub fn memory_shortage(
        &mut self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<MemoryShortage> {
        let limit_tokens = *self.memory.limits_tokens.get(criteria.service)?;
        let upstreams = self.memory.assigned.get(criteria.service).map_or(0, Vec::len);
        let largest_tokens = share_tokens(limit_tokens, self.entries.len(), upstreams);
        let hold_ms = self.memory.mean_hold_ms.unwrap_or(UNKNOWN_HOLD_MS) as u64;
        let usable_from_ms = self.memory.usable_from_ms(now_ms);
        let mut is_full = false;
        let mut is_too_large = false;
        let mut idle_wait_ms = NO_SHARE_WAIT_MS;
        let mut ends_ms = Vec::new();
        let mut tokens = 0;
        for (key, upstream) in self.of_service(criteria.service) {
            if !upstream.fits(criteria) || !self.is_usable(key, now_ms) {
                continue;
            }
            if self.has_memory(key, criteria.tokens, now_ms) {
                if criteria.excluded.contains(&key) {
                    continue;
                }
                return None;
            }
            is_full = true;
            let memory = &upstream.memory;
            tokens = demanded_tokens(criteria.tokens, limit_tokens, upstream);
            is_too_large |= tokens > largest_tokens;
            if memory.share_tokens >= tokens {
                ends_ms.extend(memory.holdings.iter().map(|it| it.begun_ms + hold_ms));
                idle_wait_ms = idle_wait_ms.min(FULL_MS);
            } else if memory.next_share_tokens >= tokens {
                idle_wait_ms =
                    idle_wait_ms.min(memory.grows_at_ms.max(usable_from_ms).saturating_sub(now_ms));
            }
        }
        if !is_full {
            return None;
        }
        let returns_ms = &mut self.memory.returns_ms;
        returns_ms.retain(|it| *it > now_ms);
        ends_ms.sort_unstable();
        // Callers that were refused before take the room of the requests that end first.
        let mean_tokens = self.memory.mean_tokens.unwrap_or(tokens as f64);
        let needed_ends = (tokens as f64 / mean_tokens.max(1.0)).ceil() as usize;
        let index = returns_ms.len() + needed_ends.max(1) - 1;
        let wait_ms = match ends_ms.len() {
            0 => idle_wait_ms,
            count => {
                let end_ms = ends_ms[index % count] + (index / count) as u64 * hold_ms;
                end_ms.saturating_sub(now_ms)
            }
        };
        let wait_ms = wait_ms.clamp(*WAIT_MS.start(), *WAIT_MS.end());
        if !is_too_large && returns_ms.len() < MAX_RETURNS {
            returns_ms.push(now_ms + wait_ms);
        }
        Some(MemoryShortage { wait_ms, is_too_large })
    }

    /// Chooses among candidates that have room the one that all entries rank first for a prefix, unless
    /// clearly more tokens are held there than elsewhere.
    pub(crate) fn choose_by_prefix_and_memory(
        &self,
        candidates: &[UpstreamKey],
        affinity: &Affinity,
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let mut loads = Vec::with_capacity(candidates.len());
        for key in candidates {
            let Some(upstream) = self.all.get(*key) else { continue };
            let limit_tokens = self.memory.limit(upstream).unwrap_or(0);
            let others_tokens = self.others_tokens(upstream, limit_tokens, now_ms);
            loads.push((*key, upstream, upstream.memory.held_tokens + others_tokens));
        }
        let total_tokens: u64 = loads.iter().map(|it| it.2).sum();
        let mean_load_tokens = total_tokens as f64 / loads.len().max(1) as f64;
        let base_tokens = AFFINITY_BASE_REQUESTS * self.memory.mean_tokens.unwrap_or(0.0);
        let max_tokens = base_tokens + AFFINITY_LOAD_FACTOR * mean_load_tokens;
        let mut best: Option<(u64, UpstreamKey)> = None;
        for (key, upstream, load_tokens) in loads {
            if load_tokens as f64 > max_tokens || upstream.fails_often(now_ms) {
                continue;
            }
            let weight = upstream.prefix_weight(affinity);
            if best.is_none_or(|(best_weight, _)| weight > best_weight) {
                best = Some((weight, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns an estimate of the tokens that requests of other entries hold at an upstream, from the last
    /// report and the mean size of this entry's requests.
    fn others_tokens(&self, upstream: &Upstream, limit_tokens: u64, now_ms: u64) -> u64 {
        let Some((requests, at_ms)) = upstream.memory.others else { return 0 };
        if now_ms.saturating_sub(at_ms) > REPORT_MAX_AGE_MS {
            return 0;
        }
        let unknown_tokens = demanded_tokens(None, limit_tokens, upstream) as f64;
        (f64::from(requests) * self.memory.mean_tokens.unwrap_or(unknown_tokens)) as u64
    }

    /// Tells whether the memory of the upstreams of a service is limited.
    pub(crate) fn has_memory_limit(&self, service: &str) -> bool {
        self.memory.limits_tokens.contains_key(service)
    }

    /// Computes the shares again if the entries, the upstreams or the limits have changed, and lets grown
    /// shares take effect in time.
    pub(crate) fn update_memory_shares(&mut self, now_ms: u64) {
        if self.memory.limits_tokens.is_empty() {
            return;
        }
        if self.has_entries() {
            let mut assigned = FastMap::default();
            for service in self.memory.limits_tokens.keys() {
                assigned.insert(service.clone(), self.shared_upstreams(service));
            }
            if self.memory.is_outdated || self.memory.assigned != assigned {
                self.memory.is_outdated = false;
                self.memory.assigned = assigned;
                self.assign_memory_shares(now_ms);
            }
        }
        let usable_from_ms = self.memory.usable_from_ms(now_ms);
        for upstream in self.all.values_mut() {
            let memory = &mut upstream.memory;
            let grows_at_ms = memory.grows_at_ms.max(usable_from_ms);
            if memory.next_share_tokens > memory.share_tokens && now_ms >= grows_at_ms {
                memory.share_tokens = memory.next_share_tokens;
            }
        }
    }

    /// Returns the upstreams of a service whose memory is shared: not those that leave or whose data centre
    /// is evacuated, or else an entry could have all its shares there.
    fn shared_upstreams(&self, service: &str) -> Vec<UpstreamKey> {
        let mut keys = Vec::new();
        for (key, upstream) in self.of_service(service) {
            let data_centre = upstream.record.data_centre.as_ref();
            if !upstream.leaves() && !self.evacuations.contains(data_centre) {
                keys.push(key);
            }
        }
        keys
    }

    fn assign_memory_shares(&mut self, now_ms: u64) {
        self.memory.started_ms.get_or_insert(now_ms);
        for (service, limit_tokens) in &self.memory.limits_tokens {
            let Some(keys) = self.memory.assigned.get(service) else { continue };
            let ids: Vec<&str> =
                keys.iter().filter_map(|it| Some(self.all.get(*it)?.record.id.as_str())).collect();
            let is_held = held_by(self.own_name(), &self.entries, &ids);
            let tokens = share_tokens(*limit_tokens, self.entries.len(), ids.len());
            for (key, is_held) in keys.iter().zip(is_held) {
                let Some(upstream) = self.all.get_mut(*key) else { continue };
                let tokens = if is_held { tokens } else { 0 };
                upstream.memory.assign(tokens, now_ms);
            }
        }
    }

    /// Tells whether this entry holds much of its share at an upstream.
    pub(crate) fn is_memory_scarce(&self) -> bool {
        self.all.values().map(|it| &it.memory).any(|it| {
            it.held_tokens > 0 && it.held_tokens as f64 >= it.share_tokens as f64 * SCARCE_PART
        })
    }

    /// Merges whether another entry holds much of its share.
    pub(crate) fn merge_memory_scarcity(&mut self, is_scarce: bool, now_ms: u64) {
        let memory = &mut self.memory;
        memory.joins_under_load |= is_scarce && now_ms < memory.usable_from_ms(now_ms);
    }

    /// Returns what this entry holds of the memory of each service with a limit.
    pub fn memory_use(&self, now_ms: u64) -> Vec<MemoryUse> {
        let mut uses = Vec::new();
        for service in self.memory.limits_tokens.keys() {
            let service = service.clone();
            let mut total =
                MemoryUse { service, held_tokens: 0, share_tokens: 0, report_age_ms: 0 };
            for (_, upstream) in self.of_service(&total.service.clone()) {
                let memory = &upstream.memory;
                total.held_tokens += memory.held_tokens;
                total.share_tokens += memory.share_tokens;
                let age_ms = memory.others.map_or(0, |(_, at_ms)| now_ms.saturating_sub(at_ms));
                if age_ms <= REPORT_MAX_AGE_MS {
                    total.report_age_ms = total.report_age_ms.max(age_ms);
                }
            }
            uses.push(total);
        }
        uses
    }
}

impl ModelMemory {
    /// Returns the time from which this entry uses its shares. Those of an entry that joins others under load
    /// have former holders, whose requests have to end first.
    fn usable_from_ms(&self, now_ms: u64) -> u64 {
        let settle_ms = if self.joins_under_load { GROWTH_SETTLE_MS } else { START_SETTLE_MS };
        self.started_ms.unwrap_or(now_ms) + settle_ms
    }

    fn limit(&self, upstream: &Upstream) -> Option<u64> {
        self.limits_tokens.get(&upstream.record.service).copied()
    }
}

impl HeldMemory {
    /// Records how many requests an upstream reports, of which `own` are this entry's.
    pub(crate) fn observe_requests(&mut self, requests: u32, own: u32, now_ms: u64) {
        self.others = Some((requests.saturating_sub(own), now_ms));
    }

    /// Sets the share; a smaller one takes effect at once, a larger one when its former holder has
    /// probably released it. A new upstream has no former holder.
    fn assign(&mut self, tokens: u64, now_ms: u64) {
        if !self.is_assigned {
            self.is_assigned = true;
            self.grows_at_ms = now_ms;
        } else if tokens > self.next_share_tokens {
            self.grows_at_ms = now_ms + GROWTH_SETTLE_MS;
        }
        self.next_share_tokens = tokens;
        self.share_tokens = self.share_tokens.min(tokens);
    }
}

/// Returns the share of each entry that holds one, in tokens.
fn share_tokens(limit_tokens: u64, entries: usize, upstreams: usize) -> u64 {
    let sharing = sharing_entries(entries, upstreams) as f64;
    (limit_tokens as f64 * DIVIDED_PART / sharing) as u64
}

/// Returns the tokens that a request holds; one that does not state them is taken to need as much as each
/// of the requests that an upstream runs at once.
fn demanded_tokens(demand: Option<TokenDemand>, limit_tokens: u64, upstream: &Upstream) -> u64 {
    let unstated_tokens = limit_tokens / u64::from(upstream.record.slots.max(1));
    demand.map_or(unstated_tokens, TokenDemand::tokens)
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    let former = mean.unwrap_or(value);
    *mean = Some(former + MEAN_WEIGHT * (value - former));
}

#[cfg(test)]
mod tests;
