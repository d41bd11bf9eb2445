//! Streams that callers take up at any entry go on only at the software version that began them.
//!
//! Entries begin streams, tell registrars of them, are killed and start again while versions come and go.
//! The oracle knows where each stream began: an entry either finds just that, or nothing.

use proptest::{prelude::*, test_runner::RngSeed};
use yuccatrail_core::{
    revision::Revision,
    stream_origin::{StreamKey, StreamOrigin, StreamOrigins},
    upstreams::{ListUpdate, UpstreamRecord, Upstreams, UpstreamsSettings},
};

const ENTRIES: usize = 5;
/// The first entries are the registrars.
const REGISTRARS: usize = 2;
const VERSIONS: usize = 3;
/// Time after which a caller has given up its stream, in milliseconds.
const CALLER_DEADLINE_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    /// The upstream of a version starts or leaves.
    Toggle(usize),
    Begin {
        entry: usize,
        version: usize,
    },
    Tell {
        entry: usize,
        registrar: usize,
    },
    Kill(usize),
    KillAll,
    TakeUp {
        entry: usize,
        stream: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (10..8_000_u64).prop_map(Step::Wait),
        3 => (0..VERSIONS).prop_map(Step::Toggle),
        8 => (0..ENTRIES, 0..VERSIONS).prop_map(|(entry, version)| Step::Begin { entry, version }),
        8 => (0..ENTRIES, 0..REGISTRARS)
            .prop_map(|(entry, registrar)| Step::Tell { entry, registrar }),
        2 => (0..ENTRIES).prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        12 => (0..ENTRIES, 0..64_usize).prop_map(|(entry, stream)| Step::TakeUp { entry, stream }),
    ]
}

struct Entry {
    streams: StreamOrigins,
    upstreams: Upstreams,
    /// Time of its start, which its clock counts from.
    started_ms: u64,
    told: [u64; REGISTRARS],
}

struct BegunStream {
    key: StreamKey,
    version: usize,
    begun_ms: u64,
}

struct Fleet {
    entries: Vec<Entry>,
    listed: [bool; VERSIONS],
    revision: u64,
    now_ms: u64,
    begun: Vec<BegunStream>,
    found: usize,
}

fn version(number: usize) -> String {
    format!("v{number}")
}

fn record(number: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u{number}"),
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "x".into(),
        slots: 4,
        is_draining: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_unix_ms: Some(1),
        models: Vec::new(),
        version: version(number).into(),
    }
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            entries: Vec::new(),
            listed: [true, false, false],
            revision: 1,
            now_ms: 0,
            begun: Vec::new(),
            found: 0,
        };
        fleet.entries = (0..ENTRIES).map(|_| fleet.start_entry()).collect();
        fleet
    }

    fn start_entry(&self) -> Entry {
        let mut upstreams = Upstreams::new(UpstreamsSettings::default(), "entry");
        let listed = (0..VERSIONS).filter(|it| self.listed[*it]).map(record);
        let list = ListUpdate::Snapshot(listed.collect());
        upstreams.update(list, Revision::new(0, self.revision), 0);
        let streams = StreamOrigins::default();
        Entry { streams, upstreams, started_ms: self.now_ms, told: [0; REGISTRARS] }
    }

    fn toggle(&mut self, number: usize) {
        self.revision += 1;
        self.listed[number] = !self.listed[number];
        let revision = Revision::new(0, self.revision);
        for entry in &mut self.entries {
            let now_ms = self.now_ms - entry.started_ms;
            let update = match self.listed[number] {
                true => ListUpdate::Listed(record(number)),
                false => ListUpdate::Unlisted { id: format!("u{number}") },
            };
            entry.upstreams.update(update, revision, now_ms);
        }
    }

    fn begin(&mut self, entry: usize, number: usize) {
        if !self.listed[number] {
            return;
        }
        let key = StreamKey::of(&self.begun.len().to_string());
        let origin = StreamOrigin { service: "s".into(), version: version(number).into() };
        let begins = &mut self.entries[entry];
        begins.streams.record(key, &origin, self.now_ms - begins.started_ms);
        self.begun.push(BegunStream { key, version: number, begun_ms: self.now_ms });
    }

    /// An entry sends a registrar its hello: streams go there, versions come back.
    fn tell(&mut self, entry: usize, registrar: usize) {
        if entry == registrar {
            return;
        }
        let (begun, told) =
            self.entries[entry].streams.begun_after(self.entries[entry].told[registrar]);
        self.entries[entry].told[registrar] = told;
        let receiver = &mut self.entries[registrar];
        let receiver_ms = self.now_ms - receiver.started_ms;
        receiver.streams.merge(&begun, receiver_ms);
        let versions = receiver.upstreams.reported_versions(receiver_ms);
        let sender = &mut self.entries[entry];
        sender.upstreams.merge_versions(&versions, self.now_ms - sender.started_ms);
    }

    fn kill(&mut self, entry: usize) {
        self.entries[entry] = self.start_entry();
        if entry < REGISTRARS {
            // Entries tell a registrar that has restarted all of their streams.
            self.entries.iter_mut().for_each(|it| it.told[entry] = 0);
        }
    }

    fn take_up(&mut self, entry: usize, stream: usize) {
        let Some(stream) = self.begun.iter().rev().nth(stream) else { return };
        if self.now_ms > stream.begun_ms + CALLER_DEADLINE_MS {
            return;
        }
        let knows = |it: &Entry| it.streams.origin_of(stream.key).map(|it| it.version.clone());
        let asked = [entry].into_iter().chain(0..REGISTRARS);
        let own = &self.entries[entry];
        let found = asked
            .filter_map(|it| knows(&self.entries[it]))
            .next()
            .or_else(|| own.upstreams.sole_version("s", self.now_ms - own.started_ms));
        if let Some(found) = found {
            assert_eq!(found.as_ref(), version(stream.version));
            self.found += 1;
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now_ms += ms,
            Step::Toggle(number) => self.toggle(number),
            Step::Begin { entry, version } => self.begin(entry, version),
            Step::Tell { entry, registrar } => self.tell(entry, registrar),
            Step::Kill(entry) => self.kill(entry),
            Step::KillAll => (0..ENTRIES).for_each(|it| self.kill(it)),
            Step::TakeUp { entry, stream } => self.take_up(entry, stream),
        }
        for entry in &mut self.entries {
            let now_ms = self.now_ms - entry.started_ms;
            entry.streams.expire(now_ms);
            entry.upstreams.expire(now_ms);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7_630),
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_entry_finds_the_version_that_began_a_stream_or_nothing(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(step);
        }
    }
}

#[test]
fn streams_that_registrars_were_told_of_are_found_after_their_entry_was_killed() {
    let mut fleet = Fleet::new();
    fleet.toggle(1);
    for number in 0..10 {
        fleet.begin(3, number % 2);
    }
    for registrar in 0..REGISTRARS {
        fleet.tell(3, registrar);
    }
    fleet.kill(3);
    fleet.kill(0);
    for stream in 0..10 {
        fleet.take_up(4, stream);
    }
    assert_eq!(fleet.found, 10);
}
