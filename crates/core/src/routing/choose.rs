//! Selection among the upstreams of a pool.

use std::hash::{Hash, Hasher};

use derive_more::Display;
use rustc_hash::FxHasher;

use crate::{
    outcome::Reason,
    routing::{HealthStatus, UpstreamKey, pool::LoadReport},
};

/// One in this many choices may go to a cold upstream while warm ones have room.
const COLD_PROBE_INTERVAL: u64 = 16;

/// Load, relative to the mean of the pool, up to which a prompt prefix stays with its upstream.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// An upstream that may receive an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number that names the upstream alike in all entries.
    pub stable_id: u64,
    /// Load that the last reply carried.
    pub load: LoadReport,
    /// Attempts that this entry sent since that reply.
    pub sent_since_reply: u32,
    /// Attempts of this entry that have not ended.
    pub in_flight: u32,
    /// Latency of the upstream relative to the rest of its pool.
    pub latency_factor: f64,
    /// Whether the upstream stands in the entry's own data centre.
    pub is_local: bool,
    /// Whether the upstream may receive work as far as its health tells.
    pub health_status: HealthStatus,
    /// Whether the upstream is believed to have the prompt prefix in its cache.
    pub has_prefix: bool,
    /// Whether an earlier attempt of the same stage went to this upstream.
    pub tried: bool,
}

impl Candidate {
    /// Returns the attempts that run or wait at the upstream, as far as the entry knows.
    pub fn outstanding(&self) -> u32 {
        let reported = self.load.running.saturating_add(self.load.queued);
        reported.saturating_add(self.sent_since_reply).max(self.in_flight)
    }

    /// Tells whether one more attempt could start at once.
    pub fn has_capacity(&self) -> bool {
        self.outstanding() < self.load.limit
    }

    /// Returns the expected time to work off one more attempt, in multiples of a usual call.
    fn pressure(&self) -> f64 {
        let outstanding = f64::from(self.outstanding()) + 1.0;
        outstanding / f64::from(self.load.limit.max(1)) * self.latency_factor
    }

    fn is_eligible(&self) -> bool {
        !self.tried && !self.load.draining && self.health_status == HealthStatus::InService
    }
}

/// How an upstream is picked among the eligible ones.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Policy {
    /// The less loaded of two at random, with affinity and preference for the own data centre.
    #[default]
    PowerOfTwo,
    /// Any one at random.
    Random,
    /// Each in turn.
    RoundRobin,
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceContext {
    /// How an upstream is picked.
    pub policy: Policy,
    /// Hash of the prompt prefix, if the stage has one worth keeping together.
    pub prefix: Option<u64>,
    /// Number of choices made before, for [`Policy::RoundRobin`].
    pub round_robin_index: u64,
    /// Whether the attempt is too precious to try out an ejected or cold upstream with.
    pub no_probe: bool,
}

/// Random numbers for one choice, each uniform over the whole range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RandomNumbers {
    /// Selects the first of two candidates.
    pub first: u64,
    /// Selects the second of two candidates.
    pub second: u64,
    /// Decides whether a cold upstream is considered.
    pub probe: u64,
}

/// Why a candidate was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// An ejected upstream is tried for its return.
    ReturnProbe,
    /// A cold upstream with room is given a call to warm up with.
    ColdProbe,
    /// No warm upstream is left and the cold one has room.
    OnlyCold,
    /// The upstream is believed to have the prompt prefix in its cache.
    CachedPrefix,
    /// The prompt prefix is assigned to the upstream.
    PrefixAffinity,
    /// The less loaded of two in the own data centre.
    LocalLeastLoaded,
    /// The less loaded of two.
    LeastLoaded,
    /// The upstream on which every entry runs a suspected request.
    Suspect,
    /// A random pick of a baseline policy.
    Random,
    /// The next in turn of a baseline policy.
    InTurn,
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position in the candidates.
    pub index: usize,
    /// The upstream.
    pub key: UpstreamKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Number of candidates that were eligible.
    pub considered: usize,
}

/// Why no candidate was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum ChoiceError {
    /// No upstream is eligible.
    NoUpstream,
    /// Every eligible upstream is cold and has as many calls as it can bear.
    Cold,
}

impl From<ChoiceError> for Reason {
    fn from(error: ChoiceError) -> Self {
        match error {
            ChoiceError::NoUpstream => Self::NoUpstream,
            ChoiceError::Cold => Self::Cold,
        }
    }
}

/// Chooses the upstream for an attempt.
///
/// # Errors
///
/// [`ChoiceError`] when no candidate may receive the attempt now.
pub fn choose(
    candidates: &[Candidate],
    context: &ChoiceContext,
    random: RandomNumbers,
) -> Result<Choice, ChoiceError> {
    let eligible = indices(candidates, Candidate::is_eligible);
    let considered = eligible.len();
    let choice = |(index, reason): (usize, ChoiceReason)| Choice {
        index,
        key: candidates[index].key,
        reason,
        considered,
    };

    if !context.no_probe
        && let Some(index) = return_probe(candidates)
    {
        return Ok(choice((index, ChoiceReason::ReturnProbe)));
    }
    if eligible.is_empty() {
        return Err(ChoiceError::NoUpstream);
    }

    match context.policy {
        Policy::PowerOfTwo => by_load(candidates, &eligible, context, random).map(choice),
        Policy::Random => Ok(choice((pick(&eligible, random.first), ChoiceReason::Random))),
        Policy::RoundRobin => {
            Ok(choice((pick(&eligible, context.round_robin_index), ChoiceReason::InTurn)))
        }
    }
}

fn by_load(
    candidates: &[Candidate],
    eligible: &[usize],
    context: &ChoiceContext,
    random: RandomNumbers,
) -> Result<(usize, ChoiceReason), ChoiceError> {
    let warm = retain(eligible, |index| !candidates[index].load.cold);
    let cold = retain(eligible, |index| {
        let candidate = &candidates[index];
        candidate.load.cold && candidate.has_capacity()
    });

    if warm.is_empty() {
        if cold.is_empty() {
            return Err(ChoiceError::Cold);
        }
        return Ok((less_loaded(candidates, &cold, random), ChoiceReason::OnlyCold));
    }

    // Cold upstreams warm up only if they get calls, so a small part of the calls goes there, and
    // any call does that would have to wait elsewhere.
    let warm_has_capacity = warm.iter().any(|&index| candidates[index].has_capacity());
    let probes = !context.no_probe && random.probe.is_multiple_of(COLD_PROBE_INTERVAL);
    if !cold.is_empty() && (!warm_has_capacity || probes) {
        return Ok((less_loaded(candidates, &cold, random), ChoiceReason::ColdProbe));
    }

    if let Some(prefix) = context.prefix
        && let Some(choice) = by_prefix(candidates, &warm, prefix)
    {
        return Ok(choice);
    }

    let local =
        retain(&warm, |index| candidates[index].is_local && candidates[index].has_capacity());
    if !local.is_empty() {
        return Ok((less_loaded(candidates, &local, random), ChoiceReason::LocalLeastLoaded));
    }
    Ok((less_loaded(candidates, &warm, random), ChoiceReason::LeastLoaded))
}

/// Returns an ejected upstream whose single attempt at its return is due.
fn return_probe(candidates: &[Candidate]) -> Option<usize> {
    let due = |it: &Candidate| {
        it.health_status == HealthStatus::ProbeDue && !it.tried && !it.load.draining
    };
    let has_cold_capacity = |it: &Candidate| !it.load.cold || it.has_capacity();
    candidates.iter().position(|it| due(it) && has_cold_capacity(it))
}

fn by_prefix(
    candidates: &[Candidate],
    warm: &[usize],
    prefix: u64,
) -> Option<(usize, ChoiceReason)> {
    let bound = affinity_bound(candidates, warm);
    let below_bound = retain(warm, |index| candidates[index].pressure() <= bound);

    let cached = retain(&below_bound, |index| candidates[index].has_prefix);
    if let Some(index) = least_loaded(candidates, &cached) {
        return Some((index, ChoiceReason::CachedPrefix));
    }

    // Rendezvous hashing: the highest score wins, so a lost upstream moves only its own prefixes.
    let score = |index: &usize| rendezvous_score(prefix, candidates[*index].stable_id);
    let assigned = below_bound.iter().copied().max_by_key(score)?;
    Some((assigned, ChoiceReason::PrefixAffinity))
}

fn affinity_bound(candidates: &[Candidate], warm: &[usize]) -> f64 {
    let mut sum = 0.0;
    for &index in warm {
        sum += candidates[index].pressure();
    }
    // An upstream that can start the call at once is never skipped for its load.
    (sum / warm.len() as f64 * AFFINITY_LOAD_FACTOR).max(1.0)
}

fn rendezvous_score(prefix: u64, stable_id: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (prefix, stable_id).hash(&mut hasher);
    mix(hasher.finish())
}

/// Spreads the bits of a hash, whose high bits alone would decide otherwise.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the less loaded of two of `from`, which is not empty.
fn less_loaded(candidates: &[Candidate], from: &[usize], random: RandomNumbers) -> usize {
    let first = pick(from, random.first);
    let others = retain(from, |index| index != first);
    if others.is_empty() {
        return first;
    }
    let second = pick(&others, random.second);
    if candidates[second].pressure() < candidates[first].pressure() { second } else { first }
}

fn least_loaded(candidates: &[Candidate], from: &[usize]) -> Option<usize> {
    let by_pressure =
        |a: &usize, b: &usize| candidates[*a].pressure().total_cmp(&candidates[*b].pressure());
    from.iter().copied().min_by(by_pressure)
}

fn pick(from: &[usize], number: u64) -> usize {
    from[(number % from.len() as u64) as usize]
}

fn indices(candidates: &[Candidate], predicate: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|&index| predicate(&candidates[index])).collect()
}

fn retain(from: &[usize], predicate: impl Fn(usize) -> bool) -> Vec<usize> {
    from.iter().copied().filter(|&index| predicate(index)).collect()
}
