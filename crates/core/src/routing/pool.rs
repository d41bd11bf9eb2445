//! View that one entry has of the upstreams in a pool.

use serde::{Deserialize, Serialize};
use slotmap::{SecondaryMap, SlotMap};

use crate::routing::{
    UpstreamKey,
    choose::Candidate,
    health::{Health, HealthStatus},
    hints::{CacheEvent, PrefixHints},
};

/// Age at which a reported load is discounted by half, in milliseconds.
const LOAD_HALF_LIFE_MS: u64 = 2_000;

/// Load of an upstream as reported by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls in progress at the upstream.
    pub running: u32,
    /// Calls queued at the agent.
    pub queued: u32,
    /// Concurrency limit of the upstream.
    pub limit: u32,
    /// Concurrency limit that the upstream is expected to reach shortly.
    #[serde(rename = "outlook")]
    pub projected_limit: u32,
    /// Whether the upstream is in a cold start.
    pub cold: bool,
    /// Whether the agent refuses new calls.
    pub draining: bool,
}

impl LoadReport {
    /// Returns the load assumed of an upstream that has not reported yet: cold and idle.
    pub fn unknown(cold_limit: u32) -> Self {
        let limit = cold_limit.max(1);
        Self { running: 0, queued: 0, limit, projected_limit: limit, cold: true, draining: false }
    }
}

/// Load of a whole pool as estimated by one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Number of upstreams in service.
    pub upstreams: u32,
    /// Calls that run or wait at these upstreams.
    pub outstanding: u32,
    /// Outstanding calls that this entry sent.
    pub own: u32,
    /// Sum of the concurrency limits that these upstreams are expected to reach shortly.
    pub limit: u32,
}

/// How an attempt ended, as input to the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// It completed after `ratio` times the expected duration at the upstream.
    Completed {
        /// Ratio of actual to expected duration.
        ratio: f64,
    },
    /// It was cancelled or given up after `ratio` times the expected duration.
    Abandoned {
        /// Ratio of elapsed time to expected duration.
        ratio: f64,
    },
    /// The upstream or its agent failed.
    Failed,
    /// It was refused, cancelled or dropped before it ran, which shows nothing about the health.
    NotRun,
}

/// Mechanisms that tests disable.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sabotage {
    /// No mechanism is disabled.
    #[default]
    None,
    /// Attempts sent since the last reply are not counted.
    IgnoreOwnAttempts,
    /// All upstreams are treated as warm.
    IgnoreCold,
    /// Upstreams that an earlier attempt was sent to may be chosen again.
    IgnoreTried,
    /// Any number of upstreams may be ejected.
    EjectAll,
    /// After its backoff an ejected upstream receives any number of attempts instead of one probe.
    ReturnAtOnce,
}

#[derive(Clone, Debug)]
struct Upstream {
    stable_id: u64,
    is_local: bool,
    load: LoadReport,
    reported_ms: u64,
    withdrawn: bool,
    sent_since_reply: u32,
    in_flight: u32,
}

/// View that one entry has of the upstreams in a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    health: SecondaryMap<UpstreamKey, Health>,
    hints: PrefixHints,
    #[cfg(feature = "sabotage")]
    sabotage: Sabotage,
}

impl PoolView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Disables one mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = sabotage;
    }

    /// Adds an upstream, which is assumed cold until its agent replies.
    ///
    /// `stable_id` must be the same in all entries, such as a hash of the upstream's name.
    pub fn add(
        &mut self,
        now_ms: u64,
        stable_id: u64,
        is_local: bool,
        cold_limit: u32,
    ) -> UpstreamKey {
        let key = self.upstreams.insert(Upstream {
            stable_id,
            is_local,
            load: LoadReport::unknown(cold_limit),
            reported_ms: now_ms,
            withdrawn: false,
            sent_since_reply: 0,
            in_flight: 0,
        });
        self.health.insert(key, Health::new());
        key
    }

    /// Removes an upstream with its health and cache hints.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
        self.health.remove(key);
        self.hints.remove(key);
    }

    /// Sets whether an upstream is excluded from the choice, because it is leaving, its data centre
    /// is out of service or its agent is not available.
    pub fn set_withdrawn(&mut self, key: UpstreamKey, withdrawn: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.withdrawn = withdrawn;
    }

    /// Records that an attempt is sent to an upstream.
    pub fn on_sent(&mut self, now_ms: u64, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.sent_since_reply += 1;
        upstream.in_flight += 1;
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::ReturnAtOnce {
            return;
        }
        self.health[key].on_sent(now_ms);
    }

    /// Records the load from a reply of the agent.
    pub fn on_reply(&mut self, now_ms: u64, key: UpstreamKey, load: LoadReport) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.load = load;
        upstream.reported_ms = now_ms;
        upstream.sent_since_reply = 0;
    }

    /// Records the end of an attempt and ejects the upstream if necessary.
    pub fn on_end(&mut self, now_ms: u64, key: UpstreamKey, end: AttemptEnd) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.sent_since_reply = upstream.sent_since_reply.min(upstream.in_flight);

        let eject = match end {
            AttemptEnd::Completed { ratio } => {
                let pool_ratio = self.median_latency_ratio().unwrap_or(1.0);
                let failed_probe = self.health[key].on_success(ratio, pool_ratio);
                self.health[key].reset_backoff_if_stable();
                failed_probe || self.is_latency_outlier(key)
            }
            AttemptEnd::Abandoned { ratio } => {
                self.health[key].on_abandoned(now_ms, ratio);
                self.is_latency_outlier(key)
            }
            AttemptEnd::Failed => self.health[key].on_failure(),
            AttemptEnd::NotRun => {
                self.health[key].on_not_run(now_ms);
                false
            }
        };
        if eject && self.may_eject(now_ms, key) {
            self.health[key].eject(now_ms);
        }
    }

    /// Records a change of an upstream's prefix cache.
    pub fn on_cache_event(&mut self, key: UpstreamKey, sequence: u64, event: CacheEvent) {
        if self.upstreams.contains_key(key) {
            self.hints.on_event(key, sequence, event);
        }
    }

    /// Returns all upstreams as candidates for an attempt with the given prompt prefix.
    ///
    /// `tried` lists the upstreams to which earlier attempts of the same stage were sent.
    pub fn candidates(
        &self,
        now_ms: u64,
        prefix: Option<u64>,
        tried: &[UpstreamKey],
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(self.upstreams.len());
        let pool_ratio = self.median_latency_ratio().unwrap_or(1.0);
        let ignores_ejection = self.ignores_ejection(now_ms);
        for (key, upstream) in &self.upstreams {
            let health = &self.health[key];
            let health_status = match ignores_ejection {
                true => HealthStatus::InService,
                false => health.status(now_ms),
            };
            let ratio = health.mean_latency_ratio().unwrap_or(pool_ratio);
            candidates.push(Candidate {
                key,
                stable_id: upstream.stable_id,
                load: upstream.current_load(now_ms),
                sent_since_reply: upstream.sent_since_reply,
                in_flight: upstream.in_flight,
                latency_factor: ratio / pool_ratio,
                is_local: upstream.is_local,
                health_status,
                has_prefix: prefix.is_some_and(|it| self.hints.holds(key, it)),
                tried: tried.contains(&key),
            });
        }
        #[cfg(feature = "sabotage")]
        self.sabotage_candidates(&mut candidates);
        candidates
    }

    #[cfg(feature = "sabotage")]
    fn sabotage_candidates(&self, candidates: &mut [Candidate]) {
        for candidate in candidates {
            match self.sabotage {
                Sabotage::IgnoreOwnAttempts => {
                    candidate.sent_since_reply = 0;
                    candidate.in_flight = 0;
                }
                Sabotage::IgnoreCold => candidate.load.cold = false,
                Sabotage::IgnoreTried => candidate.tried = false,
                _ => {}
            }
        }
    }

    /// Returns the load of the upstreams that are in service.
    pub fn load(&self, now_ms: u64) -> PoolLoad {
        let mut pool = PoolLoad::default();
        let ignores_ejection = self.ignores_ejection(now_ms);
        for (key, upstream) in &self.upstreams {
            let load = upstream.current_load(now_ms);
            let is_in_service =
                ignores_ejection || self.health[key].status(now_ms) == HealthStatus::InService;
            if load.draining || !is_in_service {
                continue;
            }
            pool.upstreams += 1;
            pool.outstanding += load.running + load.queued + upstream.sent_since_reply;
            pool.own += upstream.in_flight;
            pool.limit += load.projected_limit;
        }
        pool
    }

    /// Returns whether ejections are ignored because no upstream would be left in service.
    ///
    /// That happens when the rest of the pool is withdrawn or drains after the ejection. Ejection
    /// prefers some upstreams over others, so it must not take the last ones out of service.
    fn ignores_ejection(&self, now_ms: u64) -> bool {
        for (key, upstream) in &self.upstreams {
            let accepts_calls = !upstream.current_load(now_ms).draining;
            if accepts_calls && self.health[key].status(now_ms) == HealthStatus::InService {
                return false;
            }
        }
        true
    }

    fn is_latency_outlier(&self, key: UpstreamKey) -> bool {
        self.median_latency_ratio().is_some_and(|it| self.health[key].is_latency_outlier(it))
    }

    /// Returns the median latency ratio over the upstreams with enough samples.
    fn median_latency_ratio(&self) -> Option<f64> {
        let mut ratios: Vec<f64> =
            self.health.values().filter_map(Health::mean_latency_ratio).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let middle = ratios.len().checked_sub(1)? / 2;
        Some(ratios[middle].max(0.01))
    }

    /// Returns whether at least half of the pool stays in service when `key` is ejected.
    fn may_eject(&self, now_ms: u64, key: UpstreamKey) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Sabotage::EjectAll {
            return true;
        }
        let in_service =
            |it: UpstreamKey| self.health[it].status(now_ms) == HealthStatus::InService;
        let ejected = self.upstreams.keys().filter(|&it| it != key && !in_service(it)).count();
        (ejected + 1) * 2 <= self.upstreams.len()
    }
}

impl Upstream {
    /// Returns the reported load, halved for each half-life since the report.
    ///
    /// Otherwise an upstream that was busy at its last reply would never be chosen again.
    fn current_load(&self, now_ms: u64) -> LoadReport {
        let half_lives = now_ms.saturating_sub(self.reported_ms) / LOAD_HALF_LIFE_MS;
        let shift = half_lives.min(31) as u32;
        LoadReport {
            running: self.load.running >> shift,
            queued: self.load.queued >> shift,
            draining: self.load.draining || self.withdrawn,
            ..self.load
        }
    }
}
