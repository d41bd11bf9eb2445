//! Registry of the strikes merged from all processes, and the admission decision.

use std::collections::BTreeMap;

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::Strike,
    sabotage::{Mechanisms, Sabotage},
};

/// Maximum number of strikes in one message.
const MAX_STRIKES_PER_MESSAGE: usize = 64;

/// Divisor of the retention period that gives the period during which strikes are propagated.
///
/// Strikes are held twice as long as they are propagated, so that an expired strike is not received
/// again from a peer that learned it later.
const GOSSIP_RETENTION_DIVISOR: u64 = 2;

/// Limits of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Number of strikes from which on a request is refused.
    pub strikes: u32,
    /// Time for which a strike counts, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of strikes held; above it the oldest are evicted first.
    pub max_strikes: usize,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may share an upstream with others.
    Normal,
    /// The request is a suspect and must be the only one running at its upstream.
    Exclusive,
    /// The request is quarantined and must not run.
    Refused,
}

/// Strikes against requests, as known to one process.
///
/// The strikes of all processes form a set that only grows until they expire: merging is
/// idempotent, commutative and associative, and a cleared strike stays cleared.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    strikes: FastMap<Digest, BTreeMap<CrashId, StoredStrike>>,
    /// Total number of strikes, including cleared ones.
    strike_count: usize,
    mechanisms: Mechanisms,
}

/// Identifies one crash of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CrashId {
    agent: Incarnation,
    number: u32,
}

#[derive(Clone, Copy, Debug)]
struct StoredStrike {
    alone: bool,
    cleared: bool,
    expires_ms: u64,
}

impl Quarantine {
    /// Creates a registry without strikes.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            limits,
            strikes: FastMap::default(),
            strike_count: 0,
            mechanisms: Mechanisms::default(),
        }
    }

    /// Creates a registry with one safety mechanism disabled.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(limits: QuarantineLimits, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(limits) }
    }

    /// Changes the number of strikes from which on a request is refused.
    pub fn set_strike_limit(&mut self, strikes: u32) {
        self.limits.strikes = strikes;
    }

    /// Decides how a request may run.
    ///
    /// Entries call this when they choose an upstream, and agents again immediately before
    /// dispatch.
    pub fn admit(&self, fingerprint: Digest, now_ms: u64) -> Admission {
        let mut strikes = 0;
        let mut ran_alone = false;
        let Some(stored) = self.strikes.get(&fingerprint) else { return Admission::Normal };
        for strike in stored.values() {
            if strike.cleared || strike.expires_ms <= now_ms {
                continue;
            }
            strikes += 1;
            ran_alone |= strike.alone;
        }
        ran_alone |= !self.mechanisms.has(Sabotage::QuarantineOnlyAlone);
        if strikes >= self.limits.strikes && ran_alone {
            return Admission::Refused;
        }
        if strikes > 0 && self.mechanisms.has(Sabotage::RunSuspectsAlone) {
            return Admission::Exclusive;
        }
        Admission::Normal
    }

    /// Decides at an agent about a submit that carries the `strikes` which the entry holds.
    ///
    /// Returns `None` if the agent holds strikes and the entry sent none. The entry then treated
    /// the request as normal and may have chosen any upstream, so the agent refuses the submit as
    /// not run, and the entry chooses again once it has received the strikes.
    pub fn admit_submit(
        &mut self,
        fingerprint: Digest,
        strikes: &[Strike],
        now_ms: u64,
    ) -> Option<Admission> {
        self.merge(strikes, now_ms);
        let admission = self.admit(fingerprint, now_ms);
        let is_entry_unaware = admission == Admission::Exclusive && strikes.is_empty();
        (!is_entry_unaware || !self.mechanisms.has(Sabotage::RefuseOutdatedSubmit))
            .then_some(admission)
    }

    /// Records that the upstream of the agent incarnation `agent` crashed for the `number`th time.
    ///
    /// `in_progress` lists every request that was sent to the upstream and had not ended, including
    /// requests cancelled without confirmation by the upstream. Returns the new strikes.
    pub fn on_crash(
        &mut self,
        agent: Incarnation,
        number: u32,
        in_progress: &[Digest],
        now_ms: u64,
    ) -> Vec<Strike> {
        let Some(first) = in_progress.first() else { return Vec::new() };
        let alone = in_progress.iter().all(|it| it == first);
        let mut strikes = Vec::new();
        for &fingerprint in in_progress {
            if strikes.iter().any(|it: &Strike| it.fingerprint == fingerprint) {
                continue;
            }
            let strike = Strike { fingerprint, agent, number, alone, cleared: false, age_ms: 0 };
            self.insert(strike, now_ms);
            strikes.push(strike);
        }
        strikes
    }

    /// Clears the strikes of a request that an upstream completed.
    pub fn on_complete(&mut self, fingerprint: Digest) {
        if !self.mechanisms.has(Sabotage::ClearCompleted) {
            return;
        }
        let Some(stored) = self.strikes.get_mut(&fingerprint) else { return };
        for strike in stored.values_mut() {
            strike.cleared = true;
        }
    }

    /// Merges the strikes received from a peer.
    pub fn merge(&mut self, strikes: &[Strike], now_ms: u64) {
        if !self.mechanisms.has(Sabotage::MergeStrikes) {
            return;
        }
        for &strike in strikes {
            self.insert(strike, now_ms);
        }
    }

    /// Returns the strikes that count against a request, to be sent to the agent with its submit.
    pub fn strikes_against(&self, fingerprint: Digest, now_ms: u64) -> Vec<Strike> {
        let mut strikes = Vec::new();
        let Some(stored) = self.strikes.get(&fingerprint) else { return strikes };
        for (&crash, strike) in stored {
            if strike.cleared || strike.expires_ms <= now_ms {
                continue;
            }
            strikes.push(self.to_strike(fingerprint, crash, strike, now_ms));
        }
        strikes
    }

    /// Tells whether the first crash of an agent counts against a request.
    pub(crate) fn counts(&self, fingerprint: Digest, agent: Incarnation, now_ms: u64) -> bool {
        let stored = self.strikes.get(&fingerprint);
        let strike = stored.and_then(|it| it.get(&CrashId { agent, number: 1 }));
        strike.is_some_and(|it| !it.cleared && it.expires_ms > now_ms)
    }

    /// Returns the number of strikes that count against a request.
    pub fn strike_count(&self, fingerprint: Digest, now_ms: u64) -> u32 {
        let stored = self.strikes.get(&fingerprint).into_iter().flat_map(BTreeMap::values);
        stored.filter(|it| !it.cleared && it.expires_ms > now_ms).count() as u32
    }

    /// Tells whether all strikes that count against a request are at least as old as `age_ms`.
    pub fn has_settled(&self, fingerprint: Digest, age_ms: u64, now_ms: u64) -> bool {
        let newest_expiry_ms = now_ms + self.limits.retention_ms.saturating_sub(age_ms);
        let mut stored = self.strikes.get(&fingerprint).into_iter().flat_map(BTreeMap::values);
        stored.all(|it| it.cleared || it.expires_ms <= newest_expiry_ms)
    }

    /// Returns the other fingerprints that have every strike which counts against this one.
    ///
    /// Each of them explains the same crashes.
    pub fn equal_suspects(&self, fingerprint: Digest, now_ms: u64) -> Vec<Digest> {
        let Some(own) = self.strikes.get(&fingerprint) else { return Vec::new() };
        let counts = |it: &StoredStrike| !it.cleared && it.expires_ms > now_ms;
        let mut suspects = Vec::new();
        for (&other, stored) in &self.strikes {
            let explains = |crash: &CrashId| stored.get(crash).is_some_and(counts);
            let mut own_crashes = own.iter().filter(|(_, it)| counts(it)).map(|(crash, _)| crash);
            if other != fingerprint && own_crashes.all(explains) {
                suspects.push(other);
            }
        }
        suspects
    }

    /// Returns the strikes to propagate to peers, newest first.
    ///
    /// If there are too many for one message, those of the fingerprints with most strikes are kept,
    /// which are the most likely to be refused; of each the newest ones.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        let max_age_ms = self.limits.retention_ms / GOSSIP_RETENTION_DIVISOR;
        let mut recent = Vec::new();
        for (&fingerprint, stored) in &self.strikes {
            for (&crash, strike) in stored {
                let strike = self.to_strike(fingerprint, crash, strike, now_ms);
                if strike.age_ms < max_age_ms {
                    recent.push(strike);
                }
            }
        }
        recent.sort_by_key(|it| (it.age_ms, it.fingerprint, it.agent, it.number));
        if recent.len() <= MAX_STRIKES_PER_MESSAGE {
            return recent;
        }
        let mut counts: FastMap<Digest, usize> = FastMap::default();
        let max_per_fingerprint = self.limits.strikes as usize * 2;
        recent.retain(|it| {
            let count = counts.entry(it.fingerprint).or_default();
            *count += 1;
            *count <= max_per_fingerprint
        });
        recent.sort_by_key(|it| std::cmp::Reverse(counts[&it.fingerprint]));
        recent.truncate(MAX_STRIKES_PER_MESSAGE);
        recent.sort_by_key(|it| (it.age_ms, it.fingerprint, it.agent, it.number));
        recent
    }

    /// Removes expired strikes.
    pub fn expire(&mut self, now_ms: u64) {
        for stored in self.strikes.values_mut() {
            stored.retain(|_, it| it.expires_ms > now_ms);
        }
        self.strikes.retain(|_, stored| !stored.is_empty());
        self.strike_count = self.strikes.values().map(BTreeMap::len).sum();
    }

    /// Returns the number of strikes held, including cleared ones.
    pub fn len(&self) -> usize {
        self.strike_count
    }

    /// Returns whether no strikes are held.
    pub fn is_empty(&self) -> bool {
        self.strike_count == 0
    }

    fn to_strike(
        &self,
        fingerprint: Digest,
        crash: CrashId,
        stored: &StoredStrike,
        now_ms: u64,
    ) -> Strike {
        let CrashId { agent, number } = crash;
        let &StoredStrike { alone, cleared, expires_ms } = stored;
        let remaining_ms = expires_ms.saturating_sub(now_ms);
        let age_ms = self.limits.retention_ms.saturating_sub(remaining_ms);
        Strike { fingerprint, agent, number, alone, cleared, age_ms }
    }

    fn insert(&mut self, strike: Strike, now_ms: u64) {
        let remaining_ms = self.limits.retention_ms.saturating_sub(strike.age_ms);
        if remaining_ms == 0 {
            return;
        }
        let crash = CrashId { agent: strike.agent, number: strike.number };
        let expires_ms = now_ms.saturating_add(remaining_ms);
        let stored = self.strikes.entry(strike.fingerprint).or_default();
        if let Some(known) = stored.get_mut(&crash) {
            known.alone &= strike.alone;
            known.cleared |= strike.cleared;
            known.expires_ms = known.expires_ms.min(expires_ms);
            return;
        }
        let Strike { alone, cleared, .. } = strike;
        stored.insert(crash, StoredStrike { alone, cleared, expires_ms });
        self.strike_count += 1;
        if self.strike_count > self.limits.max_strikes {
            self.expire(now_ms);
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        while self.strike_count > self.limits.max_strikes {
            let mut oldest: Option<(u64, Digest, CrashId)> = None;
            for (&fingerprint, stored) in &self.strikes {
                for (&crash, strike) in stored {
                    let candidate = (strike.expires_ms, fingerprint, crash);
                    if oldest.is_none_or(|it| candidate < it) {
                        oldest = Some(candidate);
                    }
                }
            }
            let Some((_, fingerprint, crash)) = oldest else { return };
            self.remove(fingerprint, crash);
        }
    }

    fn remove(&mut self, fingerprint: Digest, crash: CrashId) {
        let Some(stored) = self.strikes.get_mut(&fingerprint) else { return };
        if stored.remove(&crash).is_some() {
            self.strike_count -= 1;
        }
        if stored.is_empty() {
            self.strikes.remove(&fingerprint);
        }
    }
}
