//! Fuzz of crash watches at several entries: a request that crashes its upstreams is stopped, and no
//! other one is.
//!
//! The oracle keeps, for each entry and request, the crashes that the entry has seen or been told of
//! and those that a completion has settled. A request is refused exactly if enough are left.

mod harness;

use std::collections::BTreeSet;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{CRASH_LIMIT, CrashSabotage, CrashTracker, RequestHash},
};

const FUZZ: FuzzSettings = FuzzSettings { seed: 7_607, cases: 1_000, steps: 120 };
const ENTRIES: usize = 4;
const UPSTREAMS: usize = 4;
const REQUESTS: usize = 5;
/// The first requests crash every upstream that runs them.
const POISONOUS: usize = 2;

steps! {
    12 Send { request: usize = 0..REQUESTS, entry: usize = 0..ENTRIES, upstream: usize = 0..UPSTREAMS }
    4 Complete { upstream: usize = 0..UPSTREAMS }
    2 Crash { upstream: usize = 0..UPSTREAMS }
    8 Tell { from: usize = 0..ENTRIES, to: usize = 0..ENTRIES }
    2 Advance { ms: u64 = 1..300_u64 }
}

/// What the oracle knows that an entry knows of a request.
#[derive(Clone, Default)]
struct Known {
    crashes: BTreeSet<u64>,
    settled: BTreeSet<u64>,
    has_completed: bool,
}

impl Known {
    fn is_refused(&self) -> bool {
        self.crashes.difference(&self.settled).count() >= CRASH_LIMIT as usize
    }
}

struct Entry {
    watch: CrashTracker,
    known: [Known; REQUESTS],
}

struct Upstream {
    run: u64,
    /// Entry and request of each call in progress.
    calls: Vec<(usize, usize)>,
}

struct Crashes {
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
    next_run: u64,
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
        let Entry { watch, known } = &self.entries[entry];
        let is_refused = watch.is_refused(digest(request), self.now_ms);
        assert_eq!(is_refused, known[request].is_refused(), "request {request} at entry {entry}");
        if is_refused {
            return;
        }
        self.upstreams[upstream].calls.push((entry, request));
        if request < POISONOUS {
            self.crash(upstream);
        }
    }

    fn crash(&mut self, upstream: usize) {
        let run = self.upstreams[upstream].run;
        for (entry, request) in std::mem::take(&mut self.upstreams[upstream].calls) {
            let Entry { watch, known } = &mut self.entries[entry];
            watch.on_crash(Incarnation(run), digest(request), hash(request), self.now_ms);
            if !known[request].has_completed {
                known[request].crashes.insert(run);
            }
        }
        self.upstreams[upstream].run = self.next_run;
        self.next_run += 1;
    }

    fn complete(&mut self, upstream: usize) {
        let Some((entry, request)) = self.upstreams[upstream].calls.pop() else { return };
        let Entry { watch, known } = &mut self.entries[entry];
        watch.on_complete(hash(request), || digest(request), self.now_ms);
        let known = &mut known[request];
        known.has_completed = true;
        known.settled.extend(&known.crashes);
    }

    fn tell(&mut self, from: usize, to: usize) {
        let strikes = self.entries[from].watch.recent_strikes(self.now_ms);
        let told = self.entries[from].known.clone();
        let Entry { watch, known } = &mut self.entries[to];
        watch.merge(&strikes, self.now_ms);
        for (known, told) in known.iter_mut().zip(told) {
            known.crashes.extend(told.crashes);
            known.settled.extend(told.settled);
        }
    }
}

impl harness::Simulation for Crashes {
    type Mechanism = CrashSabotage;
    type Step = Step;

    fn new(off: Option<CrashSabotage>) -> Self {
        let mut entries = Vec::new();
        for _ in 0..ENTRIES {
            let mut watch = CrashTracker::new();
            harness::sabotage!(watch, off);
            entries.push(Entry { watch, known: Default::default() });
        }
        let upstreams =
            (0..UPSTREAMS as u64).map(|run| Upstream { run, calls: Vec::new() }).collect();
        Self { entries, upstreams, next_run: UPSTREAMS as u64, now_ms: 0 }
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send { request, entry, upstream } => self.send(request, entry, upstream),
            Step::Complete { upstream } => self.complete(upstream),
            Step::Crash { upstream } => self.crash(upstream),
            Step::Tell { from, to } => self.tell(from, to),
            Step::Advance { ms } => self.now_ms += ms,
        }
    }

    fn check(&self) {}

    /// Once all entries have told each other, what crashed enough upstreams runs nowhere any more.
    fn finish(mut self) {
        for _ in 0..2 {
            for from in 0..ENTRIES {
                for to in 0..ENTRIES {
                    self.tell(from, to);
                }
            }
        }
        for request in 0..POISONOUS {
            let crashes = self.entries[0].known[request].crashes.len();
            for entry in &self.entries {
                let is_refused = entry.watch.is_refused(digest(request), self.now_ms);
                assert_eq!(is_refused, crashes >= CRASH_LIMIT as usize);
            }
        }
    }
}

#[test]
fn what_crashes_upstreams_is_stopped_and_nothing_else() {
    assert_invariants_hold::<Crashes>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn each_mechanism_is_needed() {
    use CrashSabotage::{EarlierCompletion, LaterCompletion, Merge};

    for off in [Merge, EarlierCompletion, LaterCompletion] {
        harness::assert_detected::<Crashes>(FUZZ, off);
    }
}
