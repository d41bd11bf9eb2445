//! Property test of the crash trackers of several entries: a part of a prompt that crashes upstreams costs
//! a bounded number of them, and requests without it are served.
//!
//! For each entry and part the oracle records the crashes that the entry has seen or received, and
//! those that an answered request has cleared. An entry that knows all crashes refuses no sound request as
//! long as the part alone crashes upstreams.

mod harness;

use std::collections::BTreeMap;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use yuccatrail_core::{
    ids::{Digest, Incarnation},
    quarantine::{CRASH_LIMIT, CrashSabotage, CrashTracker, PartVerdict},
};

const FUZZ: FuzzSettings = FuzzSettings { seed: 7_608, cases: 1_000, steps: 120 };
const ENTRIES: usize = 4;
const UPSTREAMS: usize = 3;
const PARTS: usize = 5;
/// The part that crashes every upstream which begins to answer a request with it.
const DEADLY: usize = 0;
/// Upstreams that the part may cost while every entry knows all crashes: each other part that the
/// first requests had in common can cost one more.
const MAX_CRASHES: usize = CRASH_LIMIT as usize + PARTS - 1;

steps! {
    12 Send { parts: usize = 1..(1_usize << PARTS), entry: usize = 0..ENTRIES, upstream: usize = 0..UPSTREAMS }
    4 Answer { upstream: usize = 0..UPSTREAMS }
    1 Crash { upstream: usize = 0..UPSTREAMS }
    6 Gossip { from: usize = 0..ENTRIES, to: usize = 0..ENTRIES }
    2 Advance { ms: u64 = 1..300_u64 }
}

/// What an entry is expected to know of a part.
#[derive(Clone, Default)]
struct ExpectedPart {
    /// Time of each crash, and whether it has been cleared.
    crashes: BTreeMap<u64, (u64, bool)>,
    sound_ms: Option<u64>,
}

impl ExpectedPart {
    fn uncleared(&self) -> usize {
        self.crashes.values().filter(|(_, is_cleared)| !is_cleared).count()
    }
}

struct Entry {
    tracker: CrashTracker,
    expected: [ExpectedPart; PARTS],
}

/// A request that an upstream has not begun to answer.
struct Call {
    entry: usize,
    parts: usize,
}

struct DeadlyParts {
    entries: Vec<Entry>,
    /// Calls in progress at each upstream.
    upstreams: Vec<Vec<Call>>,
    next_incarnation: u64,
    next_request: u64,
    /// Whether an upstream has crashed by itself; innocent parts may then be refused.
    had_other_crash: bool,
    now_ms: u64,
}

fn digest(part: usize) -> Digest {
    Digest([part as u8; 32])
}

/// Returns the parts of a request, given as the bits of a number.
fn members(parts: usize) -> impl Iterator<Item = usize> {
    (0..PARTS).filter(move |it| parts & (1 << it) != 0)
}

impl DeadlyParts {
    /// Sends a request unless it is refused; returns whether it crashed its upstream.
    fn send(&mut self, parts: usize, entry: usize, upstream: usize) -> bool {
        let Entry { tracker, expected } = &mut self.entries[entry];
        let digests: Vec<Digest> = members(parts).map(digest).collect();
        self.next_request += 1;
        let fingerprint = Digest::of(&self.next_request.to_be_bytes());
        let verdict = tracker.judge_parts(&digests, || fingerprint, self.now_ms);
        let is_deadly = members(parts).any(|it| it == DEADLY);
        if verdict == PartVerdict::Refused {
            let limit = CRASH_LIMIT as usize;
            let has_suspect = members(parts).any(|it| expected[it].uncleared() >= limit);
            assert!(has_suspect, "refused for parts {parts:b} at entry {entry}");
            // While the entry does not know all crashes, another part may seem to explain more of them.
            let knows_all = expected[DEADLY].crashes.len() == self.next_incarnation as usize;
            assert!(
                is_deadly || self.had_other_crash || !knows_all,
                "refused a sound request with parts {parts:b} at entry {entry}"
            );
            return false;
        }
        self.upstreams[upstream].push(Call { entry, parts });
        if is_deadly {
            self.crash(upstream);
        }
        is_deadly
    }

    fn crash(&mut self, upstream: usize) {
        if self.upstreams[upstream].is_empty() {
            return;
        }
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        for Call { entry, parts } in std::mem::take(&mut self.upstreams[upstream]) {
            let Entry { tracker, expected } = &mut self.entries[entry];
            let digests: Vec<Digest> = members(parts).map(digest).collect();
            tracker.on_part_crash(Incarnation(incarnation), &digests, self.now_ms);
            for part in members(parts) {
                expected[part].crashes.entry(incarnation).or_insert((self.now_ms, false));
            }
        }
    }

    fn answer(&mut self, upstream: usize) {
        let Some(Call { entry, parts }) = self.upstreams[upstream].pop() else { return };
        let Entry { tracker, expected } = &mut self.entries[entry];
        let digests: Vec<Digest> = members(parts).map(digest).collect();
        tracker.on_parts_sound(&digests, self.now_ms);
        for part in members(parts) {
            expected[part].sound_ms = Some(self.now_ms);
            expected[part].crashes.values_mut().for_each(|it| it.1 = true);
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let strikes = self.entries[from].tracker.recent_strikes(self.now_ms);
        let received = self.entries[from].expected.clone();
        let Entry { tracker, expected } = &mut self.entries[to];
        tracker.merge(&strikes, self.now_ms);
        for (expected, received) in expected.iter_mut().zip(received) {
            for (crash, (time_ms, is_cleared)) in received.crashes {
                let is_cleared = is_cleared || expected.sound_ms.is_some_and(|it| it >= time_ms);
                expected.crashes.entry(crash).or_insert((time_ms, false)).1 |= is_cleared;
            }
        }
    }

    fn gossip_all(&mut self) {
        for _ in 0..2 {
            for from in 0..ENTRIES {
                for to in 0..ENTRIES {
                    self.gossip(from, to);
                }
            }
        }
    }
}

impl harness::Simulation for DeadlyParts {
    type Mechanism = CrashSabotage;
    type Step = Step;

    fn new(disabled: Option<CrashSabotage>) -> Self {
        let mut entries = Vec::new();
        for _ in 0..ENTRIES {
            let mut tracker = CrashTracker::new();
            harness::sabotage!(tracker, disabled);
            entries.push(Entry { tracker, expected: Default::default() });
        }
        let upstreams = (0..UPSTREAMS).map(|_| Vec::new()).collect();
        Self {
            entries,
            upstreams,
            next_incarnation: 0,
            next_request: 0,
            had_other_crash: false,
            now_ms: 0,
        }
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send { parts, entry, upstream } => {
                self.send(parts, entry, upstream);
            }
            Step::Answer { upstream } => self.answer(upstream),
            Step::Crash { upstream } => {
                self.had_other_crash |= !self.upstreams[upstream].is_empty();
                self.crash(upstream);
            }
            Step::Gossip { from, to } => self.gossip(from, to),
            Step::Advance { ms } => self.now_ms += ms,
        }
    }

    fn check(&self) {}

    /// While all entries exchange their strikes after each request, the part costs a bounded number of
    /// upstreams, whatever else its requests hold.
    fn finish(mut self) {
        for upstream in 0..UPSTREAMS {
            while !self.upstreams[upstream].is_empty() {
                self.answer(upstream);
            }
        }
        self.gossip_all();
        let mut crashes = 0;
        for number in 0..4 * MAX_CRASHES {
            let others = (number * 7) % (1 << PARTS);
            let entry = number % ENTRIES;
            crashes += usize::from(self.send(others | 1 << DEADLY, entry, 0));
            for to in 0..ENTRIES {
                self.gossip(entry, to);
            }
        }
        assert!(crashes <= MAX_CRASHES, "{crashes} upstreams crashed");
    }
}

#[test]
fn a_deadly_part_costs_few_upstreams_and_no_sound_request_is_refused() {
    assert_invariants_hold::<DeadlyParts>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    use CrashSabotage::{Merge, PartStrikes, SoundParts};

    for disabled in [Merge, PartStrikes, SoundParts] {
        harness::assert_detected::<DeadlyParts>(FUZZ, disabled);
    }
}
