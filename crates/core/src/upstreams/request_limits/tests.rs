use proptest::{prelude::*, test_runner::RngSeed};

use crate::{
    revision::Revision,
    upstreams::{
        ListUpdate, SelectionCriteria, UpstreamRecord, Upstreams, UpstreamsSettings,
        platform_lists::ListCorrections,
    },
};

/// Window in which the users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time between two tries of each entry to send a request, in milliseconds.
const STEP_MS: u64 = 20;

fn record(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "x".into(),
        slots: 1_000,
        is_draining: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_unix_ms: Some(1),
        models: Vec::new(),
        version: "v1".into(),
    }
}

fn entry(name: &str, others: Vec<String>) -> Upstreams {
    let mut upstreams = Upstreams::new(UpstreamsSettings::default(), name);
    upstreams.set_entries(others);
    let list = ListUpdate::Snapshot(vec![record("a")]);
    upstreams.update(list, Revision::new(0, 1), 0);
    upstreams
}

/// Returns whether the entry may send a request to the upstream, and counts it if so.
fn send(entry: &mut Upstreams, now_ms: u64) -> bool {
    let criteria = SelectionCriteria { service: "s", ..SelectionCriteria::default() };
    entry.choose(&criteria, now_ms).is_some_and(|key| entry.begin(key, now_ms))
}

/// Lets all entries send what they may for nine seconds; returns the times.
fn send_all(entries: &mut [Upstreams]) -> Vec<u64> {
    let mut sent_ms = Vec::new();
    for now_ms in (10..9_000).step_by(STEP_MS as usize) {
        for entry in &mut *entries {
            while send(entry, now_ms) {
                sent_ms.push(now_ms);
            }
        }
    }
    sent_ms
}

fn observe(entry: &mut Upstreams, stated: Option<f64>, sent_ms: u64, now_ms: u64) {
    let key = entry.key_of("a").unwrap();
    entry.observe_request_limit(key, stated, sent_ms, now_ms);
}

/// Returns the most requests in a window of the users.
fn most_in_window(sent_ms: &[u64]) -> usize {
    let count =
        |from: &u64| sent_ms.iter().filter(|it| (*from..from + WINDOW_MS).contains(it)).count();
    sent_ms.iter().map(count).max().unwrap_or(0)
}

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7_620),
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_that_know_the_limit_keep_it_together(
        entries in 1_usize..120,
        per_s in 0.5_f64..60.0,
        unknown in 0_usize..120,
    ) {
        let names: Vec<String> = (0..entries).map(|it| format!("entry-{it}")).collect();
        let mut all: Vec<Upstreams> = names.iter().map(|own| {
            // All but the entry itself lack the same other one.
            let known = names.iter().enumerate().filter(|(index, it)| *index != unknown || *it == own);
            entry(own, known.map(|(_, it)| it.clone()).collect())
        }).collect();
        for entry in &mut all {
            observe(entry, Some(per_s), 0, 1);
        }
        let sent_ms = send_all(&mut all);
        prop_assert!(most_in_window(&sent_ms) as f64 <= allowed(per_s));
        if entries >= 3 {
            prop_assert!(sent_ms.len() as f64 >= 9.0 * per_s * 0.8, "the limit is used");
        }
    }

    #[test]
    fn owners_and_other_entries_keep_a_limit_together(
        entries in 2_usize..40,
        owners in 1_usize..=2,
        per_s in 0.0_f64..60.0,
    ) {
        let names: Vec<String> = (0..entries).map(|it| format!("entry-{it}")).collect();
        let mut all: Vec<Upstreams> = names.iter().map(|it| entry(it, names.clone())).collect();
        for (index, entry) in all.iter_mut().enumerate() {
            entry.set_owned_services([("s".into(), index < owners)].into_iter().collect());
            observe(entry, Some(per_s), 0, 1);
        }
        let sent_ms = send_all(&mut all);
        prop_assert!(most_in_window(&sent_ms) as f64 <= allowed(per_s));
    }

    /// Entries that only hear of the limit and of its end from others agree with the upstream in the
    /// end, whatever the messages' order and delay.
    #[test]
    fn entries_agree_on_whether_the_limit_holds(
        steps in proptest::collection::vec((0_usize..5, 0_usize..5, 0_u64..400, any::<bool>()), 1..80),
        ends_limited in any::<bool>(),
    ) {
        let names: Vec<String> = (0..5).map(|it| format!("entry-{it}")).collect();
        let mut all: Vec<Upstreams> = names.iter().map(|it| entry(it, names.clone())).collect();
        let mut now_ms = 1_000;
        let mut pending: Vec<(u64, usize, ListCorrections)> = Vec::new();
        let last = steps.len();
        for (number, (from, to, delay_ms, is_limited)) in steps.into_iter().enumerate() {
            now_ms += 40;
            let stated = if number + 1 == last { ends_limited } else { is_limited };
            // A response in 30 ms to a request that was just sent.
            observe(&mut all[from], stated.then_some(2.0), now_ms - 30, now_ms);
            pending.push((now_ms + delay_ms, to, all[from].corrections(now_ms)));
            let (due, later) = pending.into_iter().partition(|it| it.0 <= now_ms);
            pending = later;
            for (_, to, corrections) in due {
                all[to].merge_corrections(&corrections, now_ms);
            }
        }
        for (_, to, corrections) in pending {
            all[to].merge_corrections(&corrections, now_ms + 400);
        }
        now_ms += 1_000;
        let stated = ends_limited.then_some(2.0);
        for _ in 0..2 {
            // The entry that knows of a limit sends until a response tells whether it still holds.
            for entry in &mut all {
                if entry.all.values().any(|it| it.request_limit.in_force().is_some()) || ends_limited {
                    observe(entry, stated, now_ms - 30, now_ms);
                }
            }
            now_ms += 500;
            for from in 0..all.len() {
                let corrections = all[from].corrections(now_ms);
                for to in &mut all {
                    to.merge_corrections(&corrections, now_ms + 10);
                }
            }
        }
        for entry in &all {
            let in_force = entry.all.values().any(|it| it.request_limit.in_force().is_some());
            prop_assert_eq!(in_force, ends_limited);
        }
    }
}

#[test]
fn an_upstream_that_is_listed_again_has_its_limit() {
    let mut entry = entry("entry-0", Vec::new());
    observe(&mut entry, Some(1.0), 0, 1);
    assert!(send(&mut entry, 10) && !send(&mut entry, 20));
    entry.update(ListUpdate::Unlisted { id: "a".to_owned() }, Revision::new(0, 2), 30);
    entry.update(ListUpdate::Listed(record("a")), Revision::new(0, 3), 40);
    assert!(!send(&mut entry, 50));
    let restarted = UpstreamRecord { started_unix_ms: Some(2), ..record("a") };
    entry.update(ListUpdate::Listed(restarted), Revision::new(0, 4), 60);
    assert!(send(&mut entry, 70) && send(&mut entry, 70));
}

#[test]
fn messages_to_other_entries_stay_bounded_and_tell_of_every_limit_in_turn() {
    let mut sender = Upstreams::new(UpstreamsSettings::default(), "entry-0");
    let records: Vec<UpstreamRecord> = (0..300).map(|it| record(&format!("u{it}"))).collect();
    let revision = Revision::new(0, 1);
    sender.update(ListUpdate::Snapshot(records.clone()), revision, 0);
    for index in 0..300 {
        let key = sender.key_of(&format!("u{index}")).unwrap();
        sender.observe_request_limit(key, Some(5.0), 0, 1);
    }
    let mut receiver = Upstreams::new(UpstreamsSettings::default(), "entry-1");
    receiver.update(ListUpdate::Snapshot(records), revision, 0);
    for now_ms in (100..60_000).step_by(300) {
        let corrections = sender.corrections(now_ms);
        assert!(corrections.limits.len() <= 36, "{}", corrections.limits.len());
        receiver.merge_corrections(&corrections, now_ms);
    }
    let known = receiver.all.values().filter(|it| it.request_limit.in_force() == Some(5.0)).count();
    assert_eq!(known, 300);
}
