//! Property test of the platform's lists at several entries while the platform is restored from
//! copies that are some seconds old.
//!
//! The oracle knows which upstreams have really left and which data centres are really evacuated. What
//! an entry has learned must never go back: an upstream whose departure it has read or heard gets no
//! calls, and an evacuation that it has read stays in force until the operators end it. When the
//! platform has been written again, every entry holds its lists.

mod harness;

use std::collections::{BTreeMap, BTreeSet};

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use yuccatrail_core::{
    revision::Revision,
    upstreams::{
        Evacuation, ListRevisions, ListUpdate, RestoreSabotage, UpstreamKey, UpstreamRecord,
        Upstreams, UpstreamsSettings,
    },
};

const FUZZ: FuzzSettings = FuzzSettings { seed: 7_608, cases: 1_500, steps: 80 };
const ENTRIES: usize = 3;
const UPSTREAMS: usize = 4;
const DATA_CENTRES: usize = 2;
/// Time after a restore by which upstreams have written their records again, in milliseconds.
const REWRITE_MS: u64 = 1_500;
/// Time after a restore within which the platform lists upstreams again that live, in milliseconds.
const RELISTING_MS: u64 = 2_000;
/// Time after a restore at which the platform removes records that nobody has written again, in
/// milliseconds.
const LAPSE_MS: u64 = 3_600;
/// Time within which an evacuation has to be in force, in milliseconds.
const EVACUATION_BOUND_MS: u64 = 5_000;
/// Time after a restore by which operators have written their changes again, in milliseconds.
const OPERATORS_MS: u64 = 5_000;

steps! {
    3 Drain { upstream: usize = 0..UPSTREAMS }
    3 Replace { upstream: usize = 0..UPSTREAMS }
    3 Evacuate { data_centre: usize = 0..DATA_CENTRES }
    4 Restore { age_ms: u64 = 0..6_000_u64 }
    12 Read { entry: usize = 0..ENTRIES }
    3 ReadLate { entry: usize = 0..ENTRIES, back: usize = 1..6_usize }
    4 Announce { entry: usize = 0..ENTRIES, upstream: usize = 0..UPSTREAMS }
    6 Send { from: usize = 0..ENTRIES, to: usize = 0..ENTRIES }
    10 Advance { ms: u64 = 1..2_000_u64 }
}

/// Identifier and start of an incarnation.
type Incarnation = (String, i64);

/// Content of the platform's store.
#[derive(Clone, Debug, Default)]
struct Content {
    number: u64,
    upstreams: BTreeMap<String, UpstreamRecord>,
    evacuations: BTreeMap<String, u64>,
}

/// An evacuation that an entry has read.
#[derive(Clone, Copy, Debug)]
struct ReadEvacuation {
    /// The operators' number of the evacuation.
    number: u64,
    /// Time from which it has to be in force, in milliseconds; once it is, it has to stay so.
    due_ms: u64,
}

struct Entry {
    upstreams: Upstreams,
    /// Incarnations of which the entry knows that they leave or have left.
    departed: BTreeSet<Incarnation>,
    /// Evacuated data centres that it has read.
    evacuated: BTreeMap<String, ReadEvacuation>,
    revisions: ListRevisions,
    /// Time until which a list that lacks an upstream says nothing about it, in milliseconds.
    lists_may_lack_until_ms: u64,
}

struct Restores {
    now_ms: u64,
    era: u64,
    restored_ms: Option<u64>,
    content: Content,
    /// Contents of the current history, with the time from which they were in the store.
    history: Vec<(u64, Content)>,
    /// Responses that an entry may receive late.
    responses: Vec<(Revision, Content)>,
    /// What the upstreams would write now; none where the upstream has left.
    upstreams: BTreeMap<String, UpstreamRecord>,
    /// Incarnations that have announced that they leave, or have left.
    leaving: BTreeSet<Incarnation>,
    /// What the operators want evacuated, by the number of the evacuation.
    evacuated: BTreeMap<String, u64>,
    /// Number of the revision in which the operators last wrote each evacuation.
    written: BTreeMap<String, u64>,
    next_evacuation: u64,
    next_start: i64,
    entries: Vec<Entry>,
}

fn upstream_name(number: usize) -> String {
    format!("u{number}")
}

fn incarnation(record: &UpstreamRecord) -> Incarnation {
    (record.id.clone(), record.started_unix_ms.unwrap_or(0))
}

fn record(id: &str, started: i64) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "elsewhere".into(),
        slots: 4,
        is_draining: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_unix_ms: Some(started),
        models: Vec::new(),
        version: "v1".into(),
    }
}

impl Restores {
    fn write(&mut self, change: impl FnOnce(&mut Content, u64)) {
        self.content.number += 1;
        let number = self.content.number;
        change(&mut self.content, number);
        self.history.push((self.now_ms, self.content.clone()));
    }

    fn publish(&mut self, record: UpstreamRecord) {
        self.write(|content, _| {
            content.upstreams.insert(record.id.clone(), record);
        });
    }

    fn drain(&mut self, upstream: usize) {
        let Some(record) = self.upstreams.get_mut(&upstream_name(upstream)) else { return };
        record.is_draining = true;
        record.sequence += 1;
        let record = record.clone();
        self.leaving.insert(incarnation(&record));
        self.publish(record);
    }

    /// Ends a draining upstream, or starts the next incarnation of one that has ended.
    fn replace(&mut self, upstream: usize) {
        let id = upstream_name(upstream);
        match self.upstreams.get(&id) {
            Some(record) if record.is_draining => {
                self.upstreams.remove(&id);
                self.write(|content, _| {
                    content.upstreams.remove(&id);
                });
            }
            Some(_) => {}
            None => {
                self.next_start += 1;
                let record = record(&id, self.next_start);
                self.upstreams.insert(id, record.clone());
                self.publish(record);
            }
        }
    }

    /// Begins or ends an evacuation.
    fn evacuate(&mut self, data_centre: usize) {
        let name = format!("d{data_centre}");
        if self.evacuated.remove(&name).is_some() {
            self.write(|content, _| {
                content.evacuations.remove(&name);
            });
            return;
        }
        self.next_evacuation += 1;
        self.evacuated.insert(name.clone(), self.next_evacuation);
        self.written.insert(name.clone(), self.content.number + 1);
        self.write(|content, number| {
            content.evacuations.insert(name, number);
        });
    }

    fn restore(&mut self, age_ms: u64) {
        let at_ms = self.now_ms.saturating_sub(age_ms);
        let index = self.history.iter().rposition(|(from_ms, _)| *from_ms <= at_ms).unwrap_or(0);
        self.history.truncate(index + 1);
        self.content = self.history[index].1.clone();
        self.era += 1;
        self.restored_ms = Some(self.now_ms);
    }

    /// Writes again what the restore has undone, as the time for it has come.
    fn rewrite(&mut self) {
        let Some(restored_ms) = self.restored_ms else { return };
        let since_ms = self.now_ms - restored_ms;
        if since_ms >= REWRITE_MS {
            for record in self.upstreams.clone().into_values() {
                if self.content.upstreams.get(&record.id) == Some(&record) {
                    continue;
                }
                let mut record = record;
                record.sequence += 1;
                self.upstreams.insert(record.id.clone(), record.clone());
                self.publish(record);
            }
        }
        if since_ms >= LAPSE_MS {
            for id in self.content.upstreams.clone().into_keys() {
                if !self.upstreams.contains_key(&id) {
                    self.write(|content, _| {
                        content.upstreams.remove(&id);
                    });
                }
            }
        }
        if since_ms >= OPERATORS_MS {
            for name in (0..DATA_CENTRES).map(|it| format!("d{it}")) {
                let is_wanted = self.evacuated.contains_key(&name);
                if is_wanted == self.content.evacuations.contains_key(&name) {
                    continue;
                }
                self.written.insert(name.clone(), self.content.number + 1);
                self.write(|content, number| {
                    if is_wanted {
                        content.evacuations.insert(name, number);
                    } else {
                        content.evacuations.remove(&name);
                    }
                });
            }
            self.restored_ms = None;
        }
    }

    fn advance(&mut self, ms: u64) {
        // Step by step, so that nothing is written later than it has to be.
        for _ in 0..ms.div_ceil(100) {
            self.now_ms += 100;
            self.rewrite();
        }
        for entry in &mut self.entries {
            entry.upstreams.expire(self.now_ms);
        }
    }

    fn read(&mut self, number: usize) {
        let revision = Revision::new(self.era, self.content.number);
        self.responses.push((revision, self.content.clone()));
        if self.entries[number].upstreams.revisions().upstreams.era < self.era {
            self.entries[number].lists_may_lack_until_ms = self.now_ms + RELISTING_MS;
        }
        self.deliver(number, revision, &self.content.clone());
        let entry = &mut self.entries[number];
        for incarnation in &self.leaving {
            let listed = self.content.upstreams.get(&incarnation.0);
            let is_listed = listed.is_some_and(|it| it.started_unix_ms == Some(incarnation.1));
            let is_draining = is_listed && listed.is_some_and(|it| it.is_draining);
            if is_draining || !is_listed && self.now_ms > entry.lists_may_lack_until_ms {
                entry.departed.insert(incarnation.clone());
            }
        }
        for (name, evacuation) in &self.evacuated {
            if self.content.evacuations.get(name) == self.written.get(name) {
                let due_ms = self.now_ms + EVACUATION_BOUND_MS;
                let read = ReadEvacuation { number: *evacuation, due_ms };
                entry.evacuated.entry(name.clone()).or_insert(read);
            }
        }
    }

    fn deliver(&mut self, number: usize, revision: Revision, content: &Content) {
        let entry = &mut self.entries[number].upstreams;
        entry.set_entries(Vec::new());
        let records = content.upstreams.values().cloned().collect();
        entry.update(ListUpdate::Snapshot(records), revision, self.now_ms);
        let evacuation = |(name, number): (&String, &u64)| Evacuation {
            data_centre: name.clone(),
            changed_at: *number,
        };
        let evacuations: Vec<Evacuation> = content.evacuations.iter().map(evacuation).collect();
        entry.replace_evacuated(&evacuations, revision, self.now_ms);
    }

    /// Delivers a response of an earlier era, which arrives after the entry knows of the restore.
    fn read_late(&mut self, number: usize, back: usize) {
        let known = self.entries[number].upstreams.revisions().upstreams;
        let mut earlier = self.responses.iter().rev().filter(|(it, _)| it.era < known.era);
        let Some((revision, content)) = earlier.nth(back - 1).cloned() else { return };
        self.deliver(number, revision, &content);
    }

    /// An upstream that leaves says so in a response to an entry.
    fn announce(&mut self, number: usize, upstream: usize) {
        let Some(record) = self.upstreams.get(&upstream_name(upstream)) else { return };
        let incarnation = incarnation(record);
        let entry = &mut self.entries[number];
        let Some(key) = key_of(&entry.upstreams, &incarnation) else { return };
        self.leaving.insert(incarnation.clone());
        entry.departed.insert(incarnation);
        entry.upstreams.observe_leaving(key, self.now_ms);
    }

    fn send(&mut self, from: usize, to: usize) {
        let corrections = self.entries[from].upstreams.corrections(self.now_ms);
        let lists = self.entries[from].upstreams.platform_lists(self.now_ms);
        let entry = &mut self.entries[to];
        entry.upstreams.merge_corrections(&corrections, self.now_ms);
        let Some(lists) = lists else { return };
        if entry.upstreams.revisions().upstreams.era < lists.revisions.upstreams.era {
            entry.lists_may_lack_until_ms = self.now_ms + RELISTING_MS;
        }
        entry.upstreams.adopt_newer(lists, self.now_ms);
    }
}

fn key_of(upstreams: &Upstreams, incarnation: &Incarnation) -> Option<UpstreamKey> {
    let mut all = upstreams.of_service("s");
    let is_same =
        |it: &UpstreamRecord| it.id == incarnation.0 && it.started_unix_ms == Some(incarnation.1);
    all.find(|(_, it)| is_same(&it.record)).map(|(key, _)| key)
}

impl harness::Simulation for Restores {
    type Mechanism = RestoreSabotage;
    type Step = Step;

    fn new(disabled: Option<RestoreSabotage>) -> Self {
        let mut entries = Vec::new();
        for number in 0..ENTRIES {
            let name = format!("entry-{number}");
            let mut upstreams = Upstreams::new(UpstreamsSettings::default(), &name);
            harness::sabotage!(upstreams, disabled);
            entries.push(Entry {
                upstreams,
                departed: BTreeSet::new(),
                evacuated: BTreeMap::new(),
                revisions: ListRevisions::default(),
                lists_may_lack_until_ms: 0,
            });
        }
        let mut platform = Self {
            now_ms: 10_000,
            era: 1,
            restored_ms: None,
            content: Content::default(),
            history: vec![(0, Content::default())],
            responses: Vec::new(),
            upstreams: BTreeMap::new(),
            leaving: BTreeSet::new(),
            evacuated: BTreeMap::new(),
            written: BTreeMap::new(),
            next_evacuation: 0,
            next_start: 0,
            entries,
        };
        for upstream in 0..UPSTREAMS {
            platform.replace(upstream);
        }
        // Copies are never older than the first records.
        platform.history.drain(..UPSTREAMS);
        for entry in 0..ENTRIES {
            platform.read(entry);
        }
        platform
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Drain { upstream } => self.drain(upstream),
            Step::Replace { upstream } => self.replace(upstream),
            Step::Evacuate { data_centre } => self.evacuate(data_centre),
            Step::Restore { age_ms } => self.restore(age_ms),
            Step::Read { entry } => self.read(entry),
            Step::ReadLate { entry, back } => self.read_late(entry, back),
            Step::Announce { entry, upstream } => self.announce(entry, upstream),
            Step::Send { from, to } => self.send(from, to),
            Step::Advance { ms } => self.advance(ms),
        }
        for entry in &mut self.entries {
            let now = entry.upstreams.revisions();
            assert!(!entry.revisions.has_newer_than(now), "{:?} became {now:?}", entry.revisions);
            entry.revisions = now;
            entry.evacuated.retain(|name, it| self.evacuated.get(name) == Some(&it.number));
            for evacuation in entry.upstreams.evacuated() {
                if let Some(read) = entry.evacuated.get_mut(&evacuation.data_centre) {
                    read.due_ms = 0;
                }
            }
        }
    }

    fn check(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            for incarnation in &entry.departed {
                let key = key_of(&entry.upstreams, incarnation);
                let is_used = key.is_some_and(|it| entry.upstreams.is_usable(it, self.now_ms));
                assert!(!is_used, "entry {number} uses {incarnation:?}, which leaves");
            }
            let in_force: BTreeSet<String> =
                entry.upstreams.evacuated().into_iter().map(|it| it.data_centre).collect();
            for (name, read) in &entry.evacuated {
                let is_in_force = in_force.contains(name) || self.now_ms < read.due_ms;
                assert!(is_in_force, "entry {number} has forgotten {name}");
            }
        }
    }

    fn finish(mut self) {
        for _ in 0..30 {
            self.advance(1_000);
            for entry in 0..ENTRIES {
                self.read(entry);
            }
            self.check();
        }
        for (number, entry) in self.entries.iter().enumerate() {
            let usable = |key: &UpstreamKey| entry.upstreams.is_usable(*key, self.now_ms);
            for record in self.upstreams.values() {
                let incarnation = incarnation(record);
                if self.leaving.contains(&incarnation) {
                    continue;
                }
                let key = key_of(&entry.upstreams, &incarnation);
                assert!(key.as_ref().is_some_and(usable), "entry {number} lacks {incarnation:?}");
            }
            let in_force: BTreeSet<String> =
                entry.upstreams.evacuated().into_iter().map(|it| it.data_centre).collect();
            let wanted: BTreeSet<String> = self.evacuated.keys().cloned().collect();
            assert_eq!(in_force, wanted, "entry {number}");
        }
    }
}

#[test]
fn what_an_entry_has_learned_does_not_go_back_when_the_platform_is_restored() {
    assert_invariants_hold::<Restores>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn each_disabled_mechanism_is_detected() {
    use RestoreSabotage::{Announcements, Departures, EraOrder, HeldEvacuations};

    for disabled in [EraOrder, Departures, Announcements, HeldEvacuations] {
        harness::assert_detected::<Restores>(FUZZ, disabled);
    }
}
