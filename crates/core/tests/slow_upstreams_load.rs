//! Load of a hundred entries on 160 upstreams, a fifth of which turn slow for some seconds.
//!
//! Checks what callers get: how many of their requests go to a slow upstream, with and without the
//! exchange among the entries.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use yuccatrail_core::{
    revision::Revision,
    upstreams::{
        Affinity, CallEnd, FirstEventKey, ListUpdate, SelectionCriteria, UpstreamKey,
        UpstreamRecord, Upstreams, UpstreamsSettings,
    },
};

const ENTRIES: usize = 100;
const UPSTREAMS: usize = 160;
const SLOW_UPSTREAMS: usize = 33;
const PREFIXES: u32 = 400;
const REQUESTS_PER_S: u64 = 160;
/// Interval in which the slow upstreams are slow, in milliseconds.
const SLOW_FROM_MS: u64 = 4_000;
const SLOW_UNTIL_MS: u64 = 10_000;
/// Time after which the entries have to know of it, in milliseconds: the wait for a late first event
/// and two exchanges.
const LEARNING_MS: u64 = 2_500;
/// Interval at which an entry exchanges what it knows with another one, in milliseconds.
const EXCHANGE_MS: u64 = 500;
const FIRST_EVENT_MS: u64 = 200;
const SLOW_FIRST_EVENT_MS: u64 = 3_000;
const STEP_MS: u64 = 25;

struct Call {
    entry: usize,
    upstream: UpstreamKey,
    first_event: FirstEventKey,
    arrives_ms: u64,
}

fn record(number: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u{number}"),
        service: "model".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "x".into(),
        slots: 64,
        is_draining: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_unix_ms: Some(1),
        models: Vec::new(),
        version: "v1".into(),
    }
}

fn entries() -> Vec<Upstreams> {
    let names: Vec<String> = (0..ENTRIES).map(|it| format!("entry-{it}")).collect();
    let start = |name: &String| {
        let mut upstreams = Upstreams::new(UpstreamsSettings::default(), name);
        upstreams.set_entries(names.clone());
        let records = (0..UPSTREAMS).map(record).collect();
        upstreams.update(ListUpdate::Snapshot(records), Revision::new(0, 1), 0);
        upstreams
    };
    names.iter().map(start).collect()
}

/// Lets an entry and a random other one tell each other what they know.
fn exchange(entries: &mut [Upstreams], own: usize, random: &mut StdRng, now_ms: u64) {
    let other = random.random_range(0..ENTRIES);
    for (from, to) in [(own, other), (other, own)] {
        let corrections = entries[from].corrections(now_ms);
        entries[to].merge_corrections(&corrections, now_ms);
    }
}

/// Returns the fractions of requests that went to a slow upstream: while these are slow and known, and
/// from three seconds after they have recovered, then of all that went to formerly slow ones.
fn run(is_exchanging: bool) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(7_610);
    let mut entries = entries();
    let mut calls: Vec<Call> = Vec::new();
    let (mut sent, mut to_slow) = ([0.0; 2], [0.0; 2]);
    for now_ms in (0..SLOW_UNTIL_MS + 9_000).step_by(STEP_MS as usize) {
        for call in calls.extract_if(.., |it| it.arrives_ms <= now_ms) {
            let entry = &mut entries[call.entry];
            entry.record_first_event(call.first_event, now_ms);
            entry.end(call.upstream, CallEnd::Answered { latency_ms: 100.0 }, now_ms);
        }
        for entry in &mut entries {
            entry.detect_slow(now_ms);
        }
        if is_exchanging {
            for own in 0..ENTRIES {
                if (now_ms + own as u64 * STEP_MS).is_multiple_of(EXCHANGE_MS) {
                    exchange(&mut entries, own, &mut random, now_ms);
                }
            }
        }
        for _ in 0..REQUESTS_PER_S * STEP_MS / 1_000 {
            let entry = random.random_range(0..ENTRIES);
            let affinity = Affinity { prefix: format!("p{}", random.random_range(0..PREFIXES)) };
            let criteria = SelectionCriteria {
                service: "model",
                affinity: Some(&affinity),
                ..SelectionCriteria::default()
            };
            let upstream = entries[entry].choose(&criteria, now_ms).unwrap();
            assert!(entries[entry].begin(upstream, now_ms));
            let id = entries[entry].get(upstream).unwrap().record.id.clone();
            let is_slow_one = id[1..].parse::<usize>().unwrap() < SLOW_UPSTREAMS;
            let is_slow = is_slow_one && (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&now_ms);
            let late_ms = if is_slow { SLOW_FIRST_EVENT_MS } else { FIRST_EVENT_MS };
            let first_event = entries[entry].await_first_event(upstream, 80.0, now_ms).unwrap();
            calls.push(Call { entry, upstream, first_event, arrives_ms: now_ms + late_ms });
            let phase = match now_ms {
                it if (SLOW_FROM_MS + LEARNING_MS..SLOW_UNTIL_MS).contains(&it) => 0,
                it if it >= SLOW_UNTIL_MS + 7_000 => 1,
                _ => continue,
            };
            sent[phase] += 1.0;
            to_slow[phase] += f64::from(u8::from(is_slow_one));
        }
    }
    (to_slow[0] / sent[0], to_slow[1] / sent[1])
}

#[test]
fn few_requests_go_to_slow_upstreams_once_the_entries_have_told_each_other() {
    let fair = SLOW_UPSTREAMS as f64 / UPSTREAMS as f64;
    let (alone, _) = run(false);
    assert!(alone > fair * 0.7, "one entry can't learn alone: {alone}");
    let (together, recovered) = run(true);
    assert!(together <= 0.05, "{together} of the requests go to slow upstreams");
    assert!(recovered >= fair * 0.7, "{recovered} of the requests go to them after they recovered");
}
