//! Registry of strikes, merged from all processes, and the admission decision.

use std::collections::BTreeMap;

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::Strike,
    sabotage::{Mechanisms, Sabotage},
};

/// Largest number of strikes in one message.
const MAX_PASSED_STRIKES: usize = 64;

/// Part of the retention period for which strikes are passed on.
///
/// Strikes are held twice as long as they are passed on, so that an expired strike does not come
/// back from a peer that learned it later.
const PASSED_RETENTION_DIVISOR: u64 = 2;

/// Bounds of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Strikes after which a request is refused.
    pub strikes: u32,
    /// Time for which a strike counts, in milliseconds.
    pub retention_ms: u64,
    /// Largest number of strikes held; beyond it the oldest are forgotten first.
    pub max_strikes: usize,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may share an upstream with others.
    Normal,
    /// The request is a suspect and needs an upstream to itself.
    Exclusive,
    /// The request is condemned and must not run.
    Refused,
}

/// Strikes against requests, as known to one process.
///
/// The strikes of all processes form a set that only grows until they expire: merging is idempotent,
/// commutative and associative, and a cleared strike stays cleared.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    strikes: FastMap<Digest, BTreeMap<StopId, HeldStrike>>,
    held: usize,
    mechanisms: Mechanisms,
}

/// Names one stop of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StopId {
    agent: Incarnation,
    number: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeldStrike {
    alone: bool,
    cleared: bool,
    expires_ms: u64,
}

impl Quarantine {
    /// Creates a registry without strikes.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, strikes: FastMap::default(), held: 0, mechanisms: Mechanisms::default() }
    }

    /// Creates a registry with one safety mechanism switched off.
    #[cfg(feature = "sabotage")]
    pub fn with_sabotage(limits: QuarantineLimits, sabotage: Sabotage) -> Self {
        Self { mechanisms: Mechanisms::without(sabotage), ..Self::new(limits) }
    }

    /// Takes over a changed number of strikes after which a request is refused.
    pub fn set_strike_limit(&mut self, strikes: u32) {
        self.limits.strikes = strikes;
    }

    /// Decides how a request may run.
    ///
    /// Entries ask when they choose an upstream, and agents ask again straight before dispatch.
    pub fn admit(&self, fingerprint: Digest, now_ms: u64) -> Admission {
        let mut strikes = 0;
        let mut ran_alone = false;
        let Some(held) = self.strikes.get(&fingerprint) else { return Admission::Normal };
        for strike in held.values() {
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

    /// Decides at an agent about a submit, whose entry passed on `strikes` against the request.
    ///
    /// Returns `None` when the agent knows strikes and the entry passed on none. The entry then took
    /// the request for a normal one and may have chosen any upstream, so the agent refuses the submit
    /// as not run, and the entry chooses again once it has the strikes.
    pub fn admit_submit(
        &mut self,
        fingerprint: Digest,
        strikes: &[Strike],
        now_ms: u64,
    ) -> Option<Admission> {
        self.merge(strikes, now_ms);
        let admission = self.admit(fingerprint, now_ms);
        let is_unaware = admission == Admission::Exclusive && strikes.is_empty();
        (!is_unaware || !self.mechanisms.has(Sabotage::RefuseOutdatedSubmit)).then_some(admission)
    }

    /// Records that the upstream of the agent run `agent` stopped for the `number`th time.
    ///
    /// `in_progress` names every request that the upstream had been handed and that had not ended,
    /// also those cancelled without the upstream's confirmation. Returns the new strikes.
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

    /// Clears a request that an upstream answered completely.
    pub fn on_complete(&mut self, fingerprint: Digest) {
        if !self.mechanisms.has(Sabotage::ClearCompleted) {
            return;
        }
        let Some(held) = self.strikes.get_mut(&fingerprint) else { return };
        for strike in held.values_mut() {
            strike.cleared = true;
        }
    }

    /// Takes in the strikes that a peer passed on.
    pub fn merge(&mut self, strikes: &[Strike], now_ms: u64) {
        if !self.mechanisms.has(Sabotage::MergeStrikes) {
            return;
        }
        for &strike in strikes {
            self.insert(strike, now_ms);
        }
    }

    /// Returns the strikes that make a request a suspect; a submit carries them to the agent.
    pub fn strikes_against(&self, fingerprint: Digest, now_ms: u64) -> Vec<Strike> {
        let mut strikes = Vec::new();
        let Some(held) = self.strikes.get(&fingerprint) else { return strikes };
        for (&stop, strike) in held {
            if strike.cleared || strike.expires_ms <= now_ms {
                continue;
            }
            strikes.push(self.to_strike(fingerprint, stop, strike, now_ms));
        }
        strikes
    }

    /// Returns the strikes to pass on to peers, the newest first.
    pub fn recent_strikes(&self, now_ms: u64) -> Vec<Strike> {
        let max_age_ms = self.limits.retention_ms / PASSED_RETENTION_DIVISOR;
        let mut recent = Vec::new();
        for (&fingerprint, held) in &self.strikes {
            for (&stop, strike) in held {
                let strike = self.to_strike(fingerprint, stop, strike, now_ms);
                if strike.age_ms < max_age_ms {
                    recent.push(strike);
                }
            }
        }
        recent.sort_by_key(|it| (it.age_ms, it.fingerprint, it.agent, it.number));
        recent.truncate(MAX_PASSED_STRIKES);
        recent
    }

    /// Removes the strikes that no longer count because of their age.
    pub fn expire(&mut self, now_ms: u64) {
        for held in self.strikes.values_mut() {
            held.retain(|_, it| it.expires_ms > now_ms);
        }
        self.strikes.retain(|_, held| !held.is_empty());
        self.held = self.strikes.values().map(BTreeMap::len).sum();
    }

    /// Returns the number of strikes held, cleared ones included.
    pub fn len(&self) -> usize {
        self.held
    }

    /// Tells whether no strikes are held.
    pub fn is_empty(&self) -> bool {
        self.held == 0
    }

    fn to_strike(
        &self,
        fingerprint: Digest,
        stop: StopId,
        held: &HeldStrike,
        now_ms: u64,
    ) -> Strike {
        let StopId { agent, number } = stop;
        let &HeldStrike { alone, cleared, expires_ms } = held;
        let remaining_ms = expires_ms.saturating_sub(now_ms);
        let age_ms = self.limits.retention_ms.saturating_sub(remaining_ms);
        Strike { fingerprint, agent, number, alone, cleared, age_ms }
    }

    fn insert(&mut self, strike: Strike, now_ms: u64) {
        let remaining_ms = self.limits.retention_ms.saturating_sub(strike.age_ms);
        if remaining_ms == 0 {
            return;
        }
        let stop = StopId { agent: strike.agent, number: strike.number };
        let expires_ms = now_ms.saturating_add(remaining_ms);
        let held = self.strikes.entry(strike.fingerprint).or_default();
        if let Some(known) = held.get_mut(&stop) {
            known.alone &= strike.alone;
            known.cleared |= strike.cleared;
            known.expires_ms = known.expires_ms.min(expires_ms);
            return;
        }
        let Strike { alone, cleared, .. } = strike;
        held.insert(stop, HeldStrike { alone, cleared, expires_ms });
        self.held += 1;
        if self.held > self.limits.max_strikes {
            self.expire(now_ms);
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        while self.held > self.limits.max_strikes {
            let mut oldest: Option<(u64, Digest, StopId)> = None;
            for (&fingerprint, held) in &self.strikes {
                for (&stop, strike) in held {
                    let candidate = (strike.expires_ms, fingerprint, stop);
                    if oldest.is_none_or(|it| candidate < it) {
                        oldest = Some(candidate);
                    }
                }
            }
            let Some((_, fingerprint, stop)) = oldest else { return };
            self.remove(fingerprint, stop);
        }
    }

    fn remove(&mut self, fingerprint: Digest, stop: StopId) {
        let Some(held) = self.strikes.get_mut(&fingerprint) else { return };
        if held.remove(&stop).is_some() {
            self.held -= 1;
        }
        if held.is_empty() {
            self.strikes.remove(&fingerprint);
        }
    }
}
