//! Record of crashes that an entry keeps on the platform, so that they count after all entries have
//! restarted.
//!
//! Each entry records the crashes that it has observed itself, in one object of its own. A started entry
//! reads the objects of all entries once; later ones reach it through the other entries. A crash leaves
//! its record when it no longer counts, because the request has completed since or because it is too old.
//!
//! # What a recorded crash decides
//!
//! A request is refused after as many crashes as ever. Parts of prompts are different: many sound
//! requests share a part with one that crashed, and what clears them is that others are answered, which
//! nobody has seen yet after a restart of all entries. A part whose cause was not established before thus
//! stays one crash below the limit, see [`CrashTracker::restore`].

use std::collections::BTreeSet;

use crate::{
    FastMap,
    ids::{Digest, Incarnation},
    quarantine::{
        CRASH_LIMIT, Strike,
        crashes::{CrashSabotage, CrashTracker, STRIKE_RETENTION_MS},
    },
};

/// Maximum number of suspects in the record of one entry; above it, those with the fewest crashes are
/// left out. The object then takes about 60 kB.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of observed crashes that are held.
const MAX_OBSERVED: usize = 2_048;
/// Crashes of other suspects than those that had just begun, from which on they are recorded.
const MIN_CRASHES: u32 = 2;
/// Minimum interval between two writes, in milliseconds; crashes in between share one.
const WRITE_INTERVAL_MS: u64 = 100;
/// Interval at which crashes that no longer count are looked for, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Delay before crashes that no longer count are removed, in milliseconds; further ones may follow.
const REMOVAL_DELAY_MS: u64 = 2_000;
/// Shortest delay after a failed write, in milliseconds; doubles with each further failure.
const MIN_RETRY_MS: u64 = 250;
/// Longest delay after a failed write, in milliseconds.
const MAX_RETRY_MS: u64 = 4_000;

/// What may have crashed upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A whole request.
    Request,
    /// A part of prompts.
    Part,
    /// A part of prompts that alone explained its crashes.
    RefusedPart,
}

/// A request or part with the crashes that count against it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedSuspect {
    /// Digest of the request or part.
    pub fingerprint: Digest,
    /// What it is.
    pub kind: SuspectKind,
    /// The crashes, in the order of their upstreams.
    pub crashes: Vec<RecordedCrash>,
}

/// One crash of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordedCrash {
    /// Incarnation of the upstream.
    pub upstream: Incarnation,
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub crashed_unix_ms: u64,
}

impl RecordedSuspect {
    /// Tells whether none of the crashes counts any more.
    pub fn has_expired(&self, now_unix_ms: u64) -> bool {
        self.crashes.iter().all(|it| it.age_ms(now_unix_ms) >= STRIKE_RETENTION_MS)
    }
}

impl RecordedCrash {
    /// Returns the time since the crash, in milliseconds; 0 where the clock of another instance is ahead.
    fn age_ms(self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(self.crashed_unix_ms)
    }
}

/// A moment on the clock of the process and on that of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Time since the start of the process, in milliseconds.
    pub now_ms: u64,
    /// Time since the Unix epoch, in milliseconds.
    pub unix_ms: u64,
}

/// Call that brings the record on the platform up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall {
    /// Read the revision of the object, which is not known.
    Read,
    /// Create the object.
    Create(Vec<RecordedSuspect>),
    /// Replace the object, if its revision is still this one.
    Replace {
        /// Expected revision.
        revision: u64,
        /// New content.
        suspects: Vec<RecordedSuspect>,
    },
    /// Delete the object, if its revision is still this one.
    Delete {
        /// Expected revision.
        revision: u64,
    },
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The write has taken effect; the object has this revision now, none if it was deleted.
    Done(Option<u64>),
    /// The object has another revision than expected, or has been read; none if it does not exist.
    Conflict(Option<u64>),
    /// The write may have had no effect, or not yet.
    Unknown,
}

/// One crash against one suspect.
type CrashKey = (Digest, Incarnation);

/// Crashes that this entry has observed, and what the platform holds of them.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    observed: FastMap<CrashKey, ObservedCrash>,
    /// What the platform holds.
    stored: BTreeSet<(CrashKey, bool)>,
    /// Revision of the object; none if there is none.
    revision: Option<u64>,
    /// Whether there may have been an object since the start.
    has_existed: bool,
    /// Whether the platform has been restored from a copy, whose object is not known.
    must_read: bool,
    /// Whether the outcome of the last write is not known.
    is_uncertain: bool,
    /// Number of calls that have failed since the last successful one.
    failures: u32,
    /// Time before which nothing is written, in milliseconds.
    not_before_ms: u64,
    /// Time from which on crashes that no longer count are removed, in milliseconds.
    removal_due_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedCrash {
    is_part: bool,
    /// Whether the request had just begun, which is when a request that crashes its upstream does so.
    had_just_begun: bool,
    crashed_unix_ms: u64,
}

impl CrashRecord {
    /// Records a crash that this entry has observed and that counts against a request or part.
    pub fn observe(
        &mut self,
        fingerprint: Digest,
        kind: SuspectKind,
        upstream: Incarnation,
        had_just_begun: bool,
        now_unix_ms: u64,
    ) {
        if self.observed.len() < MAX_OBSERVED {
            let is_part = kind != SuspectKind::Request;
            let crash = ObservedCrash { is_part, had_just_begun, crashed_unix_ms: now_unix_ms };
            self.observed.entry((fingerprint, upstream)).or_insert(crash);
        }
    }

    /// Takes over what the platform holds of an earlier run of this entry.
    pub fn take_over(&mut self, suspects: &[RecordedSuspect], revision: u64) {
        self.revision = Some(revision);
        self.has_existed = true;
        self.stored.extend(keys_of(suspects));
        for suspect in suspects {
            for it in &suspect.crashes {
                let crash = ObservedCrash {
                    is_part: suspect.kind != SuspectKind::Request,
                    had_just_begun: true,
                    crashed_unix_ms: it.crashed_unix_ms,
                };
                self.observed.insert((suspect.fingerprint, it.upstream), crash);
            }
        }
    }

    /// Records that the platform was restored from a copy, which may lack the object or hold an earlier one.
    pub fn on_platform_restored(&mut self) {
        self.must_read |= self.has_existed;
    }

    /// Tells whether there is neither an object nor a crash that could be recorded.
    pub fn is_empty(&self) -> bool {
        self.observed.is_empty() && self.revision.is_none() && !self.must_read && !self.is_uncertain
    }

    /// Returns the time after which a call may be due without another crash, in milliseconds; none if
    /// nothing is recorded or could be.
    pub fn next_check_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let wait_ms = self.not_before_ms.saturating_sub(now_ms);
        Some(if wait_ms > 0 { wait_ms } else { CHECK_INTERVAL_MS })
    }

    /// Returns the call that is due, if any; its outcome has to be passed to [`Self::on_outcome`].
    pub fn next_call(&mut self, tracker: &CrashTracker, now_ms: u64) -> Option<RecordCall> {
        // Crashes that are too old or cleared no longer count in the tracker either.
        self.observed.retain(|(fingerprint, upstream), _| {
            tracker.quarantine.counts(*fingerprint, *upstream, now_ms)
        });
        if now_ms < self.not_before_ms {
            return None;
        }
        if self.must_read {
            return Some(RecordCall::Read);
        }
        let wanted = self.wanted(tracker, now_ms);
        let keys = keys_of(&wanted);
        let exists = self.revision.is_some();
        if keys == self.stored && exists != keys.is_empty() && !self.is_uncertain {
            self.removal_due_ms = None;
            return None;
        }
        if keys.is_subset(&self.stored) {
            let due_ms = *self.removal_due_ms.get_or_insert(now_ms + REMOVAL_DELAY_MS);
            if now_ms < due_ms {
                return None;
            }
        }
        match self.revision {
            None if keys.is_empty() => self.is_uncertain.then_some(RecordCall::Read),
            None => Some(RecordCall::Create(wanted)),
            Some(revision) if keys.is_empty() => Some(RecordCall::Delete { revision }),
            Some(revision) => Some(RecordCall::Replace { revision, suspects: wanted }),
        }
    }

    /// Records the outcome of a call.
    pub fn on_outcome(&mut self, call: &RecordCall, outcome: RecordOutcome, now_ms: u64) {
        self.removal_due_ms = None;
        self.is_uncertain &= outcome == RecordOutcome::Unknown;
        match outcome {
            RecordOutcome::Done(revision) => {
                self.revision = revision;
                self.has_existed |= revision.is_some();
                self.stored = match call {
                    RecordCall::Create(suspects) | RecordCall::Replace { suspects, .. } => {
                        keys_of(suspects)
                    }
                    RecordCall::Delete { .. } | RecordCall::Read => BTreeSet::new(),
                };
                self.failures = 0;
                self.not_before_ms = now_ms + WRITE_INTERVAL_MS;
            }
            RecordOutcome::Conflict(revision) => {
                // An earlier write was executed late, or undone; what the object holds is not known.
                self.must_read &= *call != RecordCall::Read;
                self.revision = revision;
                self.stored.clear();
                self.not_before_ms = now_ms;
            }
            RecordOutcome::Unknown => {
                let delay_ms = MIN_RETRY_MS << self.failures.min(8);
                self.failures += 1;
                if *call != RecordCall::Read {
                    self.is_uncertain = true;
                    self.has_existed = true;
                    self.stored.clear();
                }
                self.not_before_ms = now_ms + delay_ms.min(MAX_RETRY_MS);
            }
        }
    }

    /// Returns what the record has to hold, the suspects with most crashes first.
    fn wanted(&self, tracker: &CrashTracker, now_ms: u64) -> Vec<RecordedSuspect> {
        let mut suspects: FastMap<Digest, RecordedSuspect> = FastMap::default();
        for (&(fingerprint, upstream), crash) in &self.observed {
            let is_sure = crash.had_just_begun && !crash.is_part;
            if !is_sure && tracker.quarantine.strike_count(fingerprint, now_ms) < MIN_CRASHES {
                continue;
            }
            let kind = match crash.is_part {
                true if tracker.parts.refused_ms.contains_key(&fingerprint) => {
                    SuspectKind::RefusedPart
                }
                true => SuspectKind::Part,
                false => SuspectKind::Request,
            };
            let suspect = suspects.entry(fingerprint).or_insert_with(|| RecordedSuspect {
                fingerprint,
                kind,
                crashes: Vec::new(),
            });
            let crashed_unix_ms = crash.crashed_unix_ms;
            suspect.crashes.push(RecordedCrash { upstream, crashed_unix_ms });
        }
        let mut suspects: Vec<RecordedSuspect> = suspects.into_values().collect();
        for suspect in &mut suspects {
            suspect.crashes.sort_unstable();
        }
        suspects.sort_by_key(|it| (std::cmp::Reverse(it.crashes.len()), it.fingerprint));
        suspects.truncate(MAX_SUSPECTS);
        suspects
    }
}

impl CrashTracker {
    /// Takes over the crashes that the entries have recorded on the platform before this one started.
    ///
    /// A part whose cause was not established gets at most one crash less than the limit. A request with
    /// it then runs once more, and an answer clears all its parts.
    pub fn restore(&mut self, suspects: &[RecordedSuspect], moment: Moment) {
        let Moment { now_ms, unix_ms } = moment;
        if self.mechanisms.is_disabled(CrashSabotage::Restore) {
            return;
        }
        for suspect in suspects {
            let fingerprint = suspect.fingerprint;
            if suspect.kind == SuspectKind::RefusedPart {
                self.parts.refused_ms.insert(fingerprint, now_ms);
            }
            for crash in &suspect.crashes {
                let strikes = self.quarantine.strike_count(fingerprint, now_ms);
                if suspect.kind == SuspectKind::Part && strikes + 1 >= CRASH_LIMIT {
                    break;
                }
                let (agent, age_ms) = (crash.upstream, crash.age_ms(unix_ms));
                let strike =
                    Strike { fingerprint, agent, number: 1, alone: true, cleared: false, age_ms };
                self.merge(&[strike], now_ms);
            }
        }
    }
}

/// Returns the crashes of suspects, each with whether the suspect is a refused part.
fn keys_of(suspects: &[RecordedSuspect]) -> BTreeSet<(CrashKey, bool)> {
    let mut keys = BTreeSet::new();
    for suspect in suspects {
        let is_refused_part = suspect.kind == SuspectKind::RefusedPart;
        let crashes = suspect.crashes.iter();
        keys.extend(crashes.map(|it| ((suspect.fingerprint, it.upstream), is_refused_part)));
    }
    keys
}

#[cfg(test)]
mod tests;
