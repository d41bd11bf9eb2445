//! Load-balancing policies that select one upstream of a pool.

use std::hash::{Hash, Hasher};

use derive_more::Display;
use rustc_hash::FxHasher;

use crate::{
    outcome::Reason,
    routing::{HealthStatus, UpstreamKey, pool::LoadReport},
};

/// One in this many choices may go to a cold upstream while warm ones have free capacity.
const COLD_PROBE_INTERVAL: u64 = 16;

/// Load relative to the pool's mean above which an upstream gets no calls for its prompt prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Snapshot of one upstream, from which [`choose`] decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Identifier that is the same in all entries, used for rendezvous hashing.
    pub stable_id: u64,
    /// Load from the last reply, discounted by its age.
    pub load: LoadReport,
    /// Attempts that this entry sent since that reply.
    pub sent_since_reply: u32,
    /// Attempts of this entry that have not ended.
    pub in_flight: u32,
    /// Latency of the upstream relative to the median of its pool.
    pub latency_factor: f64,
    /// Whether the upstream is in the entry's own data centre.
    pub is_local: bool,
    /// Whether the health of the upstream allows it to receive attempts.
    pub health_status: HealthStatus,
    /// Whether the upstream probably has the prompt prefix in its cache.
    pub has_prefix: bool,
    /// Whether an earlier attempt of the same stage was sent to this upstream.
    pub tried: bool,
}

impl Candidate {
    /// Returns the estimated number of attempts that run or wait at the upstream.
    pub fn outstanding(&self) -> u32 {
        let reported = self.load.running.saturating_add(self.load.queued);
        reported.saturating_add(self.sent_since_reply).max(self.in_flight)
    }

    /// Returns whether one more attempt could start without queueing.
    pub fn has_capacity(&self) -> bool {
        self.outstanding() < self.load.limit
    }

    /// Returns the expected time until one more attempt completes, in multiples of a typical call.
    fn load_score(&self) -> f64 {
        let outstanding = f64::from(self.outstanding()) + 1.0;
        outstanding / f64::from(self.load.limit.max(1)) * self.latency_factor
    }

    fn is_eligible(&self) -> bool {
        !self.tried && !self.load.draining && self.health_status == HealthStatus::InService
    }
}

/// Load-balancing policy among the eligible upstreams.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Policy {
    /// Power of two random choices, with prefix affinity and preference for the own data centre.
    #[default]
    PowerOfTwo,
    /// Uniformly at random; a baseline for comparison.
    Random,
    /// Round robin; a baseline for comparison.
    RoundRobin,
}

/// Inputs to [`choose`] besides the candidates and the random numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceContext {
    /// Load-balancing policy.
    pub policy: Policy,
    /// Hash of the prompt prefix, for stages that profit from prefix affinity.
    pub prefix: Option<u64>,
    /// Number of earlier choices, for [`Policy::RoundRobin`].
    pub round_robin_index: u64,
    /// Whether the attempt must not serve as a probe of an ejected or cold upstream.
    pub no_probe: bool,
}

/// Random numbers for one choice, each uniform over all `u64` values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RandomNumbers {
    /// Selects the first of the two compared candidates.
    pub first: u64,
    /// Selects the second of the two compared candidates.
    pub second: u64,
    /// Decides whether the attempt may probe a cold upstream.
    pub probe: u64,
}

/// Why a candidate was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// The backoff of the ejected upstream is over; the attempt decides whether it returns.
    ReturnProbe,
    /// The upstream is cold, has free capacity and needs calls to warm up.
    ColdProbe,
    /// All eligible upstreams are cold, and this one has free capacity.
    OnlyCold,
    /// The upstream probably has the prompt prefix in its cache.
    CachedPrefix,
    /// Rendezvous hashing assigns the prompt prefix to the upstream.
    PrefixAffinity,
    /// The less loaded of two random upstreams in the own data centre.
    LocalLeastLoaded,
    /// The less loaded of two random upstreams.
    LeastLoaded,
    /// The request is suspected of crashing upstreams, so all entries send it to the same one.
    Suspect,
    /// Picked by [`Policy::Random`].
    Random,
    /// Picked by [`Policy::RoundRobin`].
    InTurn,
}

/// The chosen candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index into the candidates.
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
    /// Every eligible upstream is cold and at its cold limit.
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

/// Selects the upstream for an attempt.
///
/// # Errors
///
/// Returns a [`ChoiceError`] if no candidate can take the attempt now.
pub fn choose(
    candidates: &[Candidate],
    context: &ChoiceContext,
    random: RandomNumbers,
) -> Result<Choice, ChoiceError> {
    let eligible = matching_indices(candidates, Candidate::is_eligible);
    let considered = eligible.len();
    let choice = |(index, reason): (usize, ChoiceReason)| Choice {
        index,
        key: candidates[index].key,
        reason,
        considered,
    };

    if !context.no_probe
        && let Some(index) = find_return_probe(candidates)
    {
        return Ok(choice((index, ChoiceReason::ReturnProbe)));
    }
    if eligible.is_empty() {
        return Err(ChoiceError::NoUpstream);
    }

    match context.policy {
        Policy::PowerOfTwo => choose_by_load(candidates, &eligible, context, random).map(choice),
        Policy::Random => Ok(choice((pick_modulo(&eligible, random.first), ChoiceReason::Random))),
        Policy::RoundRobin => {
            Ok(choice((pick_modulo(&eligible, context.round_robin_index), ChoiceReason::InTurn)))
        }
    }
}

fn choose_by_load(
    candidates: &[Candidate],
    eligible: &[usize],
    context: &ChoiceContext,
    random: RandomNumbers,
) -> Result<(usize, ChoiceReason), ChoiceError> {
    let warm = filter_indices(eligible, |index| !candidates[index].load.cold);
    let cold = filter_indices(eligible, |index| {
        let candidate = &candidates[index];
        candidate.load.cold && candidate.has_capacity()
    });

    if warm.is_empty() {
        if cold.is_empty() {
            return Err(ChoiceError::Cold);
        }
        return Ok((less_loaded_of_two(candidates, &cold, random), ChoiceReason::OnlyCold));
    }

    // Cold upstreams warm up only by serving calls, so they get a small fraction of all calls, and
    // every call that would have to queue at a warm upstream.
    let warm_has_capacity = warm.iter().any(|&index| candidates[index].has_capacity());
    let is_probe = !context.no_probe && random.probe.is_multiple_of(COLD_PROBE_INTERVAL);
    if !cold.is_empty() && (!warm_has_capacity || is_probe) {
        return Ok((less_loaded_of_two(candidates, &cold, random), ChoiceReason::ColdProbe));
    }

    if let Some(prefix) = context.prefix
        && let Some(choice) = choose_by_prefix(candidates, &warm, prefix)
    {
        return Ok(choice);
    }

    let local = filter_indices(&warm, |index| {
        candidates[index].is_local && candidates[index].has_capacity()
    });
    if !local.is_empty() {
        return Ok((
            less_loaded_of_two(candidates, &local, random),
            ChoiceReason::LocalLeastLoaded,
        ));
    }
    Ok((less_loaded_of_two(candidates, &warm, random), ChoiceReason::LeastLoaded))
}

/// Returns an ejected upstream whose probe is due.
fn find_return_probe(candidates: &[Candidate]) -> Option<usize> {
    let is_due = |it: &Candidate| {
        it.health_status == HealthStatus::ProbeDue && !it.tried && !it.load.draining
    };
    let has_cold_capacity = |it: &Candidate| !it.load.cold || it.has_capacity();
    candidates.iter().position(|it| is_due(it) && has_cold_capacity(it))
}

fn choose_by_prefix(
    candidates: &[Candidate],
    warm: &[usize],
    prefix: u64,
) -> Option<(usize, ChoiceReason)> {
    let bound = affinity_load_bound(candidates, warm);
    let below_bound = filter_indices(warm, |index| candidates[index].load_score() <= bound);

    let cached = filter_indices(&below_bound, |index| candidates[index].has_prefix);
    if let Some(index) = least_loaded(candidates, &cached) {
        return Some((index, ChoiceReason::CachedPrefix));
    }

    // Rendezvous hashing: the highest score wins, so a lost upstream reassigns only its prefixes.
    let score = |index: &usize| rendezvous_score(prefix, candidates[*index].stable_id);
    let assigned = below_bound.iter().copied().max_by_key(score)?;
    Some((assigned, ChoiceReason::PrefixAffinity))
}

fn affinity_load_bound(candidates: &[Candidate], warm: &[usize]) -> f64 {
    let mut sum = 0.0;
    for &index in warm {
        sum += candidates[index].load_score();
    }
    // An upstream that can start the call without queueing is always within the bound.
    (sum / warm.len() as f64 * AFFINITY_LOAD_FACTOR).max(1.0)
}

fn rendezvous_score(prefix: u64, stable_id: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (prefix, stable_id).hash(&mut hasher);
    mix_bits(hasher.finish())
}

/// Mixes all bits of a hash into the high bits, which decide the comparison of scores.
fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the less loaded of two random indices of `from`, which must not be empty.
fn less_loaded_of_two(candidates: &[Candidate], from: &[usize], random: RandomNumbers) -> usize {
    let first = pick_modulo(from, random.first);
    let others = filter_indices(from, |index| index != first);
    if others.is_empty() {
        return first;
    }
    let second = pick_modulo(&others, random.second);
    if candidates[second].load_score() < candidates[first].load_score() { second } else { first }
}

fn least_loaded(candidates: &[Candidate], from: &[usize]) -> Option<usize> {
    let by_load_score =
        |a: &usize, b: &usize| candidates[*a].load_score().total_cmp(&candidates[*b].load_score());
    from.iter().copied().min_by(by_load_score)
}

fn pick_modulo(from: &[usize], number: u64) -> usize {
    from[(number % from.len() as u64) as usize]
}

fn matching_indices(
    candidates: &[Candidate],
    predicate: impl Fn(&Candidate) -> bool,
) -> Vec<usize> {
    (0..candidates.len()).filter(|&index| predicate(&candidates[index])).collect()
}

fn filter_indices(from: &[usize], predicate: impl Fn(usize) -> bool) -> Vec<usize> {
    from.iter().copied().filter(|&index| predicate(index)).collect()
}
