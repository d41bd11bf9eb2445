//! Property test of the crash trackers of several entries: requests that crash their upstreams are
//! refused, and no others are.
//!
//! For each entry and request the oracle records the crashes that the entry has seen or received,
//! and those that a completion has cleared. A request must be refused exactly if the number of
//! uncleared crashes has reached the limit. At the end all entries are lost at once, and the same requests
//! have to be refused by those that start from what was recorded on the platform.

mod harness;

use std::collections::BTreeSet;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{
        CRASH_LIMIT, CrashRecord, CrashSabotage, CrashTracker, Moment, RecordCall, RecordOutcome,
        RecordedSuspect, RequestHash, SuspectKind,
    },
};

const FUZZ: FuzzSettings = FuzzSettings { seed: 7_607, cases: 1_000, steps: 120 };
const ENTRIES: usize = 4;
const UPSTREAMS: usize = 4;
const REQUESTS: usize = 5;
/// Requests with a smaller number crash every upstream that runs them.
const CRASHING: usize = 2;
/// Time in which everything that is due has been recorded, in milliseconds.
const RECORDING_MS: u64 = 5_000;
/// Interval at which an entry looks for what is due, in milliseconds.
const RECORDING_INTERVAL_MS: u64 = 500;

steps! {
    12 Send { request: usize = 0..REQUESTS, entry: usize = 0..ENTRIES, upstream: usize = 0..UPSTREAMS }
    4 Complete { upstream: usize = 0..UPSTREAMS }
    2 Crash { upstream: usize = 0..UPSTREAMS }
    8 Gossip { from: usize = 0..ENTRIES, to: usize = 0..ENTRIES }
    4 Record { entry: usize = 0..ENTRIES }
    1 RecordWithoutReply { entry: usize = 0..ENTRIES }
    1 CopyPlatform { entry: usize = 0..ENTRIES }
    1 RestorePlatform { entry: usize = 0..ENTRIES }
    2 Advance { ms: u64 = 1..300_u64 }
}

/// State of a request that an entry is expected to have.
#[derive(Clone, Default)]
struct ExpectedState {
    crashes: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    has_completed: bool,
}

impl ExpectedState {
    fn is_refused(&self) -> bool {
        self.crashes.difference(&self.cleared).count() >= CRASH_LIMIT as usize
    }
}

struct Entry {
    tracker: CrashTracker,
    record: CrashRecord,
    platform: Platform,
    /// State of the platform when it was last copied.
    copy: Platform,
    expected: [ExpectedState; REQUESTS],
}

/// What the platform holds of an entry.
#[derive(Clone, Default)]
struct Platform {
    /// Revision of the last change.
    revision: u64,
    /// Revision and content of the object.
    object: Option<(u64, Vec<RecordedSuspect>)>,
}

struct Upstream {
    incarnation: u64,
    /// Entry and request of each call in progress.
    calls: Vec<(usize, usize)>,
}

struct Crashes {
    disabled: Option<CrashSabotage>,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
    next_incarnation: u64,
    now_ms: u64,
}

fn digest(request: usize) -> Digest {
    Digest([request as u8; 32])
}

fn hash(request: usize) -> RequestHash {
    RequestHash(request as u64)
}

impl Crashes {
    fn send(&mut self, request: usize, entry: usize, upstream: usize) {
        let Entry { tracker, expected, .. } = &self.entries[entry];
        let is_refused = tracker.is_refused(digest(request), self.now_ms);
        assert_eq!(
            is_refused,
            expected[request].is_refused(),
            "request {request} at entry {entry}"
        );
        if is_refused {
            return;
        }
        self.upstreams[upstream].calls.push((entry, request));
        if request < CRASHING {
            self.crash(upstream);
        }
    }

    fn crash(&mut self, upstream: usize) {
        let incarnation = self.upstreams[upstream].incarnation;
        for (entry, request) in std::mem::take(&mut self.upstreams[upstream].calls) {
            let Entry { tracker, record, expected, .. } = &mut self.entries[entry];
            let (upstream, digest) = (Incarnation(incarnation), digest(request));
            if tracker.on_crash(upstream, digest, hash(request), self.now_ms) {
                record.observe(digest, SuspectKind::Request, upstream, true, self.now_ms);
            }
            if !expected[request].has_completed {
                expected[request].crashes.insert(incarnation);
            }
        }
        self.upstreams[upstream].incarnation = self.next_incarnation;
        self.next_incarnation += 1;
    }

    fn complete(&mut self, upstream: usize) {
        let Some((entry, request)) = self.upstreams[upstream].calls.pop() else { return };
        let Entry { tracker, expected, .. } = &mut self.entries[entry];
        tracker.on_complete(hash(request), || digest(request), self.now_ms);
        let expected = &mut expected[request];
        expected.has_completed = true;
        expected.cleared.extend(&expected.crashes);
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let strikes = self.entries[from].tracker.recent_strikes(self.now_ms);
        let received = self.entries[from].expected.clone();
        let Entry { tracker, expected, .. } = &mut self.entries[to];
        tracker.merge(&strikes, self.now_ms);
        for (expected, received) in expected.iter_mut().zip(received) {
            expected.crashes.extend(received.crashes);
            expected.cleared.extend(received.cleared);
        }
    }
}

impl Entry {
    /// Makes the call that is due, if any.
    fn record(&mut self, now_ms: u64) {
        let Some(call) = self.record.next_call(&self.tracker, now_ms) else { return };
        let outcome = self.platform.make(&call);
        self.record.on_outcome(&call, outcome, now_ms);
    }

    /// Makes the call that is due, if any, and loses the platform's reply.
    fn record_without_reply(&mut self, now_ms: u64) {
        let Some(call) = self.record.next_call(&self.tracker, now_ms) else { return };
        self.platform.make(&call);
        self.record.on_outcome(&call, RecordOutcome::Unknown, now_ms);
    }

    /// Restores the platform from its copy.
    fn restore_platform(&mut self) {
        self.platform = self.copy.clone();
        self.record.on_platform_restored();
    }
}

impl Platform {
    fn make(&mut self, call: &RecordCall) -> RecordOutcome {
        let current = self.object.as_ref().map(|it| it.0);
        let expected = match call {
            RecordCall::Read => return RecordOutcome::Conflict(current),
            RecordCall::Create(_) => None,
            RecordCall::Replace { revision, .. } | RecordCall::Delete { revision } => {
                Some(*revision)
            }
        };
        if expected != current {
            return RecordOutcome::Conflict(current);
        }
        self.revision += 1;
        self.object = match call {
            RecordCall::Create(suspects) | RecordCall::Replace { suspects, .. } => {
                Some((self.revision, suspects.clone()))
            }
            RecordCall::Delete { .. } | RecordCall::Read => None,
        };
        RecordOutcome::Done(self.object.as_ref().map(|it| it.0))
    }
}

impl harness::Simulation for Crashes {
    type Mechanism = CrashSabotage;
    type Step = Step;

    fn new(disabled: Option<CrashSabotage>) -> Self {
        let mut entries = Vec::new();
        for _ in 0..ENTRIES {
            let mut tracker = CrashTracker::new();
            harness::sabotage!(tracker, disabled);
            entries.push(Entry {
                tracker,
                record: CrashRecord::default(),
                platform: Platform::default(),
                copy: Platform::default(),
                expected: Default::default(),
            });
        }
        let upstreams = (0..UPSTREAMS as u64)
            .map(|incarnation| Upstream { incarnation, calls: Vec::new() })
            .collect();
        Self { disabled, entries, upstreams, next_incarnation: UPSTREAMS as u64, now_ms: 0 }
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send { request, entry, upstream } => self.send(request, entry, upstream),
            Step::Complete { upstream } => self.complete(upstream),
            Step::Crash { upstream } => self.crash(upstream),
            Step::Gossip { from, to } => self.gossip(from, to),
            Step::Record { entry } => self.entries[entry].record(self.now_ms),
            Step::RecordWithoutReply { entry } => {
                self.entries[entry].record_without_reply(self.now_ms);
            }
            Step::CopyPlatform { entry } => {
                let Entry { platform, copy, .. } = &mut self.entries[entry];
                copy.clone_from(platform);
            }
            Step::RestorePlatform { entry } => self.entries[entry].restore_platform(),
            Step::Advance { ms } => self.now_ms += ms,
        }
    }

    fn check(&self) {}

    /// After all entries have exchanged their strikes, a request that crashed enough upstreams is
    /// refused by every entry.
    fn finish(mut self) {
        for _ in 0..2 {
            for from in 0..ENTRIES {
                for to in 0..ENTRIES {
                    self.gossip(from, to);
                }
            }
        }
        for request in 0..CRASHING {
            let crashes = self.entries[0].expected[request].crashes.len();
            for entry in &self.entries {
                let is_refused = entry.tracker.is_refused(digest(request), self.now_ms);
                assert_eq!(is_refused, crashes >= CRASH_LIMIT as usize);
            }
        }
        for _ in 0..RECORDING_MS / RECORDING_INTERVAL_MS {
            self.now_ms += RECORDING_INTERVAL_MS;
            self.entries.iter_mut().for_each(|it| it.record(self.now_ms));
        }
        let mut started = CrashTracker::new();
        harness::sabotage!(started, self.disabled);
        for entry in &self.entries {
            let suspects = entry.platform.object.as_ref().map_or(&[][..], |it| &it.1);
            started.restore(suspects, Moment { now_ms: 0, unix_ms: self.now_ms });
        }
        for (request, expected) in self.entries[0].expected.iter().enumerate() {
            let is_refused = started.is_refused(digest(request), 0);
            assert_eq!(is_refused, expected.is_refused(), "request {request} after the loss");
        }
    }
}

#[test]
fn exactly_the_requests_with_too_many_uncleared_crashes_are_refused() {
    assert_invariants_hold::<Crashes>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    use CrashSabotage::{EarlierCompletion, LaterCompletion, Merge, Restore};

    for disabled in [Merge, EarlierCompletion, LaterCompletion, Restore] {
        harness::assert_detected::<Crashes>(FUZZ, disabled);
    }
}
