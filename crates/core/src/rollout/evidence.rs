//! Evidence about the two versions of a roll-out, merged from the reports of all entries.
//!
//! The counts that reports add are collected in slices of 250 ms. In each slice and on each route, a bad
//! answer is a failure, or a success slower than twice the 75th percentile of the old version's latest
//! answers. If both versions are equally good at that time, the number of bad answers of the new version,
//! given the total of both, has a hypergeometric distribution. The slice contributes the likelihood ratio
//! of a new version with higher odds of a bad answer (Fisher's noncentral hypergeometric distribution)
//! over that distribution. The expected value of the ratio is 1 for an equally good version and below 1
//! for a better one, whatever the rate of bad answers is and however it changes with time or route. The
//! product over slices is thus a nonnegative supermartingale, and by Ville's inequality it ever exceeds
//! `1 / a` with probability at most `a`, however often it is examined. The odds are a mixture of fixed
//! values.
//!
//! In `Switch` the old version has no answers to compare with. The ratio is then binomial, against an
//! upper confidence bound of the old version's rate in its last answers, which makes the guarantee
//! approximate there.
//!
//! Every product is kept once for all upstreams and once without each upstream, and the lowest counts.

use std::{cmp::Reverse, collections::VecDeque, sync::Arc};

use crate::{
    FastMap,
    rollout::{
        Answers, RolloutReport, SLOWNESS_BUCKETS,
        likelihood::{Counts, LogRatio},
    },
    switch::MechanismSwitch,
};

/// Time that a slice covers, in milliseconds.
const SLICE_MS: u64 = 250;
/// Answers of the old version that suffice as reference in `Switch`.
const REFERENCE_ANSWERS: u32 = 200;
/// Successes of the old version that suffice for the 75th percentile. With 100, a service of 23 requests
/// per second that became slow was compared with four seconds before, and a good version looked bad.
const PERCENTILE_ANSWERS: u32 = 30;
/// Natural logarithm of the inverse of the probability to call a good version bad: 1 in 100 orders
/// as a bound. The tests overlap and the worst upstream is left out, so it happens far more seldom.
const LOG_THRESHOLD: f64 = 4.6;
/// Evidence at which a completion waits for more answers, up to the deadline; then it is enough for a
/// rollback, which costs less than a bad version that stays.
const LOG_DOUBT: f64 = 0.0;
/// Evidence at which a single upstream is suspected, ln(1,000).
const LOG_SUSPICION: f64 = 6.9;
/// Evidence without the suspected upstream below which the others count as good, ln(20). Two upstreams of
/// a bad version leave about half of the evidence, ln(31), without either.
const LOG_CLEAR: f64 = 3.0;
/// Limit of what a slice and route contribute, ln(12). A report that covers the moment at which a service
/// becomes slow holds answers of the versions from different times; the expected ratio stays below 1.
const MAX_LOG_RATIO: f64 = 2.5;
/// Reports list at most this many upstreams.
const REPORTED_UPSTREAMS: usize = 16;

/// A mechanism of the decider that tests can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutSabotage {
    /// No evidence ever shows that a version is bad.
    Evidence,
    /// One sick upstream counts as evidence of a bad version.
    WorstUpstream,
}

/// Answers of both versions.
#[derive(Clone, Debug, Default)]
struct Pair {
    old: Answers,
    new: Answers,
}

/// Latest cumulative counts of one run of an entry.
#[derive(Debug, Default)]
struct Source {
    routes: FastMap<Arc<str>, Pair>,
    upstreams: FastMap<Arc<str>, Answers>,
}

/// Kinds of answers that are counted as bad by a test.
#[derive(Clone, Copy, Debug)]
enum Badness {
    /// Failures and slow answers.
    Any,
    /// Failures only, which a service with many slow answers would hide.
    Failure,
}

/// Product of the ratios of one test, with and without each upstream.
#[derive(Clone, Debug, Default)]
struct Product {
    all: LogRatio,
    without: FastMap<Arc<str>, LogRatio>,
}

/// Tests of one route or of all routes together.
#[derive(Clone, Debug, Default)]
struct Tests {
    any: Product,
    failure: Product,
}

#[derive(Debug, Default)]
struct Route {
    total: Pair,
    slice: Pair,
    /// Latest answers of the old version by slice, the newest last.
    recent_old: VecDeque<Answers>,
    tests: Tests,
}

/// Sums of both versions, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvidenceTotals {
    pub(crate) old_answers: u32,
    pub(crate) old_bad: u32,
    pub(crate) new_answers: u32,
    pub(crate) new_bad: u32,
}

/// Merged evidence of one order.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Counts by entry and incarnation; those of ended incarnations stay.
    sources: FastMap<(Arc<str>, u64), Source>,
    routes: FastMap<Arc<str>, Route>,
    upstream_slices: FastMap<Arc<str>, Answers>,
    all_routes: Tests,
    slice_from_ms: u64,
    totals: EvidenceTotals,
    mechanisms: MechanismSwitch<RolloutSabotage>,
}

impl Evidence {
    #[cfg(feature = "sabotage")]
    pub(crate) fn sabotage(&mut self, sabotage: RolloutSabotage) {
        self.mechanisms.disable(sabotage);
    }

    /// Adds what a report counts beyond the earlier ones of the same run of the entry.
    pub(crate) fn merge(&mut self, report: &RolloutReport) {
        let key = (report.entry.clone(), report.incarnation);
        let source = self.sources.entry(key).or_default();
        for evidence in &report.routes {
            let known = source.routes.entry(evidence.route.clone()).or_default();
            let old = take_increase(&mut known.old, &evidence.old);
            let new = take_increase(&mut known.new, &evidence.new);
            let route = self.routes.entry(evidence.route.clone()).or_default();
            for pair in [&mut route.total, &mut route.slice] {
                add(&mut pair.old, &old);
                add(&mut pair.new, &new);
            }
        }
        for evidence in &report.upstreams {
            let known = source.upstreams.entry(evidence.id.clone()).or_default();
            let increase = take_increase(known, &evidence.answers);
            add(self.upstream_slices.entry(evidence.id.clone()).or_default(), &increase);
        }
    }

    /// Ends the current slice if its time is over; `new_upstreams` is the number of upstreams of the new
    /// version.
    pub(crate) fn advance(&mut self, new_upstreams: usize, now_ms: u64) {
        if now_ms < self.slice_from_ms + SLICE_MS {
            return;
        }
        self.slice_from_ms = now_ms;
        let upstreams = std::mem::take(&mut self.upstream_slices);
        // One sick upstream that no report lists can give this part of all answers.
        let unlisted = match new_upstreams > REPORTED_UPSTREAMS {
            true => 1.5 / new_upstreams as f64,
            false => 0.0,
        };
        for tests in self.routes.values_mut().map(|it| &mut it.tests).chain([&mut self.all_routes])
        {
            for id in upstreams.keys() {
                tests.any.track(id);
                tests.failure.track(id);
            }
        }
        let mut slices = Vec::new();
        let mut names = Vec::new();
        for (name, route) in &mut self.routes {
            let slice = std::mem::take(&mut route.slice);
            route.keep_recent(&slice.old);
            if slice.new.total == 0 {
                continue;
            }
            let reference = route.reference();
            let cut = route.slow_bucket();
            slices.push(Compared { slice, reference, cut, unlisted });
            names.push(name.clone());
        }
        // Upstreams are not counted by route: the lowest limit attributes the most bad answers to them.
        let cut = slices.iter().map(|it| it.cut).min().unwrap_or(SLOWNESS_BUCKETS);
        for (name, compared) in names.iter().zip(&slices) {
            let Some(route) = self.routes.get_mut(name) else { continue };
            route.tests.add(&[compared], &slices, &upstreams, cut);
        }
        // Bad answers of an upstream are taken from the routes with the most bad answers first.
        let mut by_badness: Vec<&Compared> = slices.iter().collect();
        by_badness.sort_by_key(|it| Reverse(it.new_counts(Badness::Any).0));
        self.all_routes.add(&by_badness, &slices, &upstreams, cut);
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.totals = EvidenceTotals::default();
        for route in self.routes.values() {
            let cut = route.slow_bucket();
            self.totals.old_answers += route.total.old.total;
            self.totals.old_bad += bad(&route.total.old, cut, Badness::Any);
            self.totals.new_answers += route.total.new.total;
            self.totals.new_bad += bad(&route.total.new, cut, Badness::Any);
        }
    }

    /// Returns the sums as of the end of the last slice.
    pub(crate) fn totals(&self) -> EvidenceTotals {
        self.totals
    }

    /// Tells whether the new version is bad, given the number of its upstreams.
    pub(crate) fn is_bad(&self, new_upstreams: usize) -> bool {
        self.log_evidence(new_upstreams) >= LOG_THRESHOLD
    }

    /// Tells whether the new version may be bad.
    pub(crate) fn is_doubtful(&self, new_upstreams: usize) -> bool {
        self.log_evidence(new_upstreams) >= LOG_DOUBT
    }

    /// Returns the logarithm of the evidence that the new version is bad, corrected for the number of
    /// tests: half of the false-alarm rate is for all routes together, half for the single routes.
    pub(crate) fn log_evidence(&self, new_upstreams: usize) -> f64 {
        if self.mechanisms.is_disabled(RolloutSabotage::Evidence) {
            return f64::NEG_INFINITY;
        }
        let has_others =
            new_upstreams > 1 && !self.mechanisms.is_disabled(RolloutSabotage::WorstUpstream);
        let route_tests = (4 * self.routes.len().max(1)) as f64;
        let mut highest = self.all_routes.value(has_others) - 4_f64.ln();
        for route in self.routes.values() {
            highest = highest.max(route.tests.value(has_others) - route_tests.ln());
        }
        highest
    }

    /// Returns the upstream without which there is no evidence against the new version, if there is
    /// evidence with it.
    pub(crate) fn sole_bad_upstream(&self) -> Option<Arc<str>> {
        let tests = &self.all_routes;
        for product in [&tests.any, &tests.failure] {
            if product.all.value() < LOG_SUSPICION {
                continue;
            }
            let lowest = product.without.iter().min_by(|a, b| {
                let (a, b) = ((a.1.value(), a.0), (b.1.value(), b.0));
                a.0.total_cmp(&b.0).then(a.1.cmp(b.1))
            });
            let Some((id, ratio)) = lowest else { continue };
            if ratio.value() < LOG_CLEAR {
                return Some(id.clone());
            }
        }
        None
    }
}

impl Route {
    fn keep_recent(&mut self, old: &Answers) {
        if old.total == 0 {
            return;
        }
        self.recent_old.push_back(old.clone());
        let mut total: u32 = self.recent_old.iter().map(|it| it.total).sum();
        while let Some(oldest) = self.recent_old.front()
            && total - oldest.total >= REFERENCE_ANSWERS
        {
            total -= oldest.total;
            self.recent_old.pop_front();
        }
    }

    fn reference(&self) -> Answers {
        let mut reference = Answers::default();
        self.recent_old.iter().for_each(|it| add(&mut reference, it));
        reference
    }

    /// Returns the first bucket of slow answers at this time.
    fn slow_bucket(&self) -> usize {
        let mut latest = Answers::default();
        for slice in self.recent_old.iter().rev() {
            add(&mut latest, slice);
            if latest.total.saturating_sub(latest.failed) >= PERCENTILE_ANSWERS {
                break;
            }
        }
        slow_bucket(&latest)
    }
}

/// Answers of a slice on one route, with what they are compared to.
struct Compared {
    slice: Pair,
    reference: Answers,
    /// First bucket of slowness that is bad.
    cut: usize,
    /// Part of the answers that a sick upstream without counts of its own can give.
    unlisted: f64,
}

impl Compared {
    /// Returns the bad and the good answers of the new version.
    fn new_counts(&self, badness: Badness) -> (u32, u32) {
        let bad = bad(&self.slice.new, self.cut, badness);
        (bad, self.slice.new.total - bad)
    }

    /// Returns the ratio of the slice with the given answers of the new version.
    fn ratio(&self, badness: Badness, new_bad: u32, new_good: u32) -> LogRatio {
        let old = &self.slice.old;
        let new = Counts { total: new_bad + new_good, bad: new_bad };
        if old.total >= new.total {
            let old = Counts { total: old.total, bad: bad(old, self.cut, badness) };
            return LogRatio::same_time(old, new).limited(MAX_LOG_RATIO);
        }
        let reference =
            Counts { total: self.reference.total, bad: bad(&self.reference, self.cut, badness) };
        LogRatio::against_reference(reference, new, self.unlisted).limited(MAX_LOG_RATIO)
    }
}

impl Tests {
    fn add(
        &mut self,
        slices: &[&Compared],
        all: &[Compared],
        upstreams: &FastMap<Arc<str>, Answers>,
        cut: usize,
    ) {
        for badness in [Badness::Any, Badness::Failure] {
            let product = match badness {
                Badness::Any => &mut self.any,
                Badness::Failure => &mut self.failure,
            };
            let all_good = all.iter().map(|it| it.new_counts(badness).1).sum();
            product.add(slices, all_good, upstreams, cut, badness);
        }
    }

    fn value(&self, has_others: bool) -> f64 {
        self.any.value(has_others).max(self.failure.value(has_others))
    }
}

impl Product {
    /// Starts to keep the product without an upstream; it had no answers so far.
    fn track(&mut self, id: &Arc<str>) {
        if !self.without.contains_key(id) {
            self.without.insert(id.clone(), self.all);
        }
    }

    /// Adds the compared routes out of all routes with `all_good` good answers of the new version.
    fn add(
        &mut self,
        slices: &[&Compared],
        all_good: u32,
        upstreams: &FastMap<Arc<str>, Answers>,
        cut: usize,
        badness: Badness,
    ) {
        let mut whole = Vec::new();
        let mut good_here = 0;
        for compared in slices {
            let (bad, good) = compared.new_counts(badness);
            good_here += good;
            whole.push(compared.ratio(badness, bad, good));
        }
        whole.iter().for_each(|it| self.all.add(it));
        for (id, ratio) in &mut self.without {
            let (mut bad_left, mut good_left) = (0, 0);
            if let Some(answers) = upstreams.get(id) {
                bad_left = bad(answers, cut, badness);
                // Good answers that it may have given on another route are not taken from here.
                good_left = (answers.total - bad_left).saturating_sub(all_good - good_here);
            }
            for (compared, whole) in slices.iter().zip(&whole) {
                if bad_left == 0 && good_left == 0 {
                    ratio.add(whole);
                    continue;
                }
                let (bad, good) = compared.new_counts(badness);
                let (without_bad, without_good) = (bad_left.min(bad), good_left.min(good));
                bad_left -= without_bad;
                good_left -= without_good;
                ratio.add(&compared.ratio(badness, bad - without_bad, good - without_good));
            }
        }
    }

    fn value(&self, has_others: bool) -> f64 {
        let all = self.all.value();
        if !has_others {
            return all;
        }
        self.without.values().map(LogRatio::value).fold(all, f64::min)
    }
}

/// Returns by how much `now` exceeds `known`, which becomes the larger of both.
fn take_increase(known: &mut Answers, now: &Answers) -> Answers {
    let mut increase = Answers {
        total: now.total.saturating_sub(known.total),
        failed: now.failed.saturating_sub(known.failed),
        by_slowness: [0; SLOWNESS_BUCKETS],
    };
    for (bucket, count) in increase.by_slowness.iter_mut().enumerate() {
        *count = now.by_slowness[bucket].saturating_sub(known.by_slowness[bucket]);
    }
    add(known, &increase);
    increase
}

fn add(sum: &mut Answers, more: &Answers) {
    sum.total = sum.total.saturating_add(more.total);
    sum.failed = sum.failed.saturating_add(more.failed);
    for (count, more) in sum.by_slowness.iter_mut().zip(&more.by_slowness) {
        *count = count.saturating_add(*more);
    }
}

/// Returns the number of bad answers if successes from bucket `cut` on are slow; never above the total,
/// also if a report contradicts itself.
fn bad(answers: &Answers, cut: usize, badness: Badness) -> u32 {
    let slow = match badness {
        Badness::Any => answers.by_slowness[cut.min(SLOWNESS_BUCKETS)..].iter().sum(),
        Badness::Failure => 0,
    };
    answers.failed.saturating_add(slow).min(answers.total)
}

/// Returns the first bucket of answers slower than twice the 75th percentile of `reference`. Two buckets
/// are a factor of two; the position of the percentile within its bucket decides on the rounding, so the
/// limit is between 1.7 and 2.4 times the percentile.
fn slow_bucket(reference: &Answers) -> usize {
    let total: u32 = reference.by_slowness.iter().sum();
    let mut rank = f64::from(total) * 0.75;
    for (bucket, count) in reference.by_slowness.iter().enumerate() {
        let count = f64::from(*count);
        if count > 0.0 && rank <= count {
            return bucket + if rank / count < 0.5 { 2 } else { 3 };
        }
        rank -= count;
    }
    SLOWNESS_BUCKETS
}

#[cfg(test)]
mod tests;
