//! Counts of answers by version, route and upstream.

use std::{cmp::Reverse, sync::Arc};

use crate::{
    FastMap,
    rollout::{Answers, RouteEvidence, SLOWNESS_BUCKETS, UpstreamEvidence},
};

/// Largest number of upstreams in a report.
const MAX_UPSTREAMS_REPORTED: usize = 16;
/// Buckets of call durations in each doubling; a duration is known to a fifth.
const DURATION_BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets of call durations, up to some hours.
const DURATION_BUCKETS: usize = 96;
/// Number of durations from which the counts are halved, so that recent calls have the most weight.
const MAX_DURATIONS: u32 = 4_096;

/// Complete answer of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerSample {
    /// Name of the route; that of the stage service for stage calls.
    pub route: Arc<str>,
    /// Whether the answer is a failure of the upstream.
    pub is_failure: bool,
    /// Measured time, which must not depend on a cold prefix cache, in milliseconds.
    pub took_ms: f64,
    /// Time that is expected for it without other load, in milliseconds.
    pub nominal_ms: f64,
    /// Time at which the call began, in milliseconds.
    pub started_ms: u64,
    /// Time from the beginning of the call to its end, in milliseconds.
    pub call_ms: u64,
}

impl Answers {
    pub(crate) fn record(&mut self, sample: &AnswerSample) {
        self.total = self.total.saturating_add(1);
        if sample.is_failure {
            self.failed = self.failed.saturating_add(1);
            return;
        }
        let bucket = slowness_bucket(sample.took_ms / sample.nominal_ms.max(1.0));
        self.by_slowness[bucket] = self.by_slowness[bucket].saturating_add(1);
    }

    /// Returns a number that is larger for an upstream that fails or is slow.
    fn badness(&self) -> u64 {
        let slow: u64 =
            self.by_slowness.iter().zip(0..).map(|(it, bucket)| u64::from(*it) * bucket).sum();
        u64::from(self.failed) * SLOWNESS_BUCKETS as u64 + slow
    }
}

/// Returns the bucket of a ratio of measured time to nominal time.
pub(crate) fn slowness_bucket(ratio: f64) -> usize {
    // The conversion maps what is not a number, and what is below the first bucket, to 0.
    ((ratio.log2() * 2.0 + 4.0).floor() as usize).min(SLOWNESS_BUCKETS - 1)
}

/// Answers at one service since an order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// Answers of the old and of the new version by route.
    routes: FastMap<Arc<str>, (Answers, Answers)>,
    /// Answers of the upstreams of the new version.
    upstreams: FastMap<Arc<str>, Answers>,
}

impl Evidence {
    pub(crate) fn record(&mut self, upstream: &str, is_new: bool, sample: &AnswerSample) {
        let (old, new) = self.routes.entry(sample.route.clone()).or_default();
        if !is_new {
            old.record(sample);
            return;
        }
        new.record(sample);
        if let Some(answers) = self.upstreams.get_mut(upstream) {
            answers.record(sample);
            return;
        }
        self.upstreams.entry(upstream.into()).or_default().record(sample);
    }

    /// Returns the answers by route, ordered by name.
    pub(crate) fn routes(&self) -> Vec<RouteEvidence> {
        let mut routes = Vec::new();
        for (route, (old, new)) in &self.routes {
            let evidence =
                RouteEvidence { route: route.clone(), old: old.clone(), new: new.clone() };
            routes.push(evidence);
        }
        routes.sort_unstable_by(|a, b| a.route.cmp(&b.route));
        routes
    }

    /// Returns the answers by upstream: those of the canary, which all entries report, and the worst of
    /// the others.
    pub(crate) fn upstreams(&self, canary: &[String]) -> Vec<UpstreamEvidence> {
        let mut upstreams: Vec<(&Arc<str>, &Answers)> = self.upstreams.iter().collect();
        upstreams.sort_unstable_by_key(|(id, answers)| {
            let is_other = !canary.iter().any(|it| it.as_str() == id.as_ref());
            (is_other, Reverse(answers.badness()), *id)
        });
        upstreams.truncate(MAX_UPSTREAMS_REPORTED);
        let evidence = |(id, answers): (&Arc<str>, &Answers)| UpstreamEvidence {
            id: id.clone(),
            answers: answers.clone(),
        };
        upstreams.into_iter().map(evidence).collect()
    }
}

/// Durations of recent calls to a service.
#[derive(Clone, Debug)]
pub(crate) struct CallDurations {
    counts: [u32; DURATION_BUCKETS],
    total: u32,
}

impl Default for CallDurations {
    fn default() -> Self {
        Self { counts: [0; DURATION_BUCKETS], total: 0 }
    }
}

impl CallDurations {
    pub(crate) fn record(&mut self, duration_ms: u64) {
        if self.total >= MAX_DURATIONS {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.total = self.counts.iter().sum();
        }
        let doublings = (duration_ms.max(1) as f64).log2();
        let bucket = (doublings * DURATION_BUCKETS_PER_DOUBLING).ceil() as usize;
        self.counts[bucket.min(DURATION_BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns the 99th percentile, in milliseconds; 0 if no call has ended.
    pub(crate) fn usual_ms(&self) -> u64 {
        let longer = self.total / 100;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate().rev() {
            seen += count;
            if seen > longer {
                return (bucket as f64 / DURATION_BUCKETS_PER_DOUBLING).exp2().ceil() as u64;
            }
        }
        0
    }
}
