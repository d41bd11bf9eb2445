use crate::{
    revision::Revision,
    upstreams::{ListUpdate, UpstreamRecord, Upstreams, UpstreamsSettings},
};

fn record(started: i64, sequence: u64, is_draining: bool) -> UpstreamRecord {
    UpstreamRecord {
        id: "a".to_owned(),
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "x".into(),
        slots: 4,
        is_draining,
        cold_remaining_ms: 0,
        sequence,
        started_unix_ms: Some(started),
        models: Vec::new(),
        version: "v1".into(),
    }
}

fn listed(records: &[UpstreamRecord]) -> Upstreams {
    let mut upstreams = Upstreams::new(UpstreamsSettings::default(), "entry-1");
    upstreams.update(ListUpdate::Snapshot(Vec::new()), Revision::new(1, 1), 0);
    for (index, record) in records.iter().enumerate() {
        let revision = Revision::new(1, 2 + index as u64);
        upstreams.update(ListUpdate::Listed(record.clone()), revision, 100);
    }
    upstreams
}

/// Returns the start and whether it drains, of the only upstream.
fn state(upstreams: &Upstreams) -> Option<(i64, bool)> {
    let upstream = upstreams.all.values().next()?;
    Some((upstream.record.started_unix_ms?, upstream.record.is_draining))
}

/// Guards against DRAIN: the record of the former run made a draining upstream a ready one.
#[test]
fn a_late_record_of_a_former_run_does_not_replace_that_of_the_present_one() {
    let upstreams =
        listed(&[record(1_000, 7, false), record(2_000, 2, true), record(1_000, 8, false)]);
    assert_eq!(state(&upstreams), Some((2_000, true)));
    // Two late records, between which the present run writes.
    let upstreams = listed(&[
        record(2_000, 2, true),
        record(1_000, 8, false),
        record(2_000, 3, true),
        record(1_000, 9, false),
    ]);
    assert_eq!(state(&upstreams), Some((2_000, true)));
}

#[test]
fn a_late_record_in_a_list_does_not_replace_that_of_the_present_run() {
    let mut upstreams = listed(&[record(2_000, 2, true)]);
    let list = ListUpdate::Snapshot(vec![record(1_000, 8, false)]);
    upstreams.update(list, Revision::new(1, 9), 200);
    assert_eq!(state(&upstreams), Some((2_000, true)));
}

#[test]
fn a_late_record_of_a_former_run_brings_no_upstream_back_that_has_left() {
    let mut upstreams = listed(&[record(2_000, 2, true)]);
    upstreams.update(ListUpdate::Unlisted { id: "a".to_owned() }, Revision::new(1, 8), 200);
    upstreams.update(ListUpdate::Listed(record(1_000, 8, false)), Revision::new(1, 9), 300);
    assert_eq!(state(&upstreams), None);
    upstreams.update(ListUpdate::Listed(record(3_000, 1, false)), Revision::new(1, 10), 400);
    assert_eq!(state(&upstreams), Some((3_000, false)));
}

/// A clock that was set back before the start.
#[test]
fn a_run_that_goes_on_to_write_is_the_present_one_whatever_its_start() {
    let mut upstreams = listed(&[record(2_000, 7, false), record(1_000, 1, false)]);
    assert_eq!(state(&upstreams), Some((2_000, false)));
    upstreams.update(ListUpdate::Listed(record(1_000, 2, false)), Revision::new(1, 9), 1_300);
    assert_eq!(state(&upstreams), Some((1_000, false)));
    upstreams.update(ListUpdate::Listed(record(1_000, 3, true)), Revision::new(1, 10), 2_500);
    assert_eq!(state(&upstreams), Some((1_000, true)));
}
