use crate::{
    revision::Revision,
    stream_origin::STREAM_LIFETIME_MS,
    upstreams::{ListUpdate, UpstreamRecord, Upstreams, UpstreamsSettings},
};

fn record(id: &str, version: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "x".into(),
        slots: 1,
        is_draining: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_unix_ms: Some(1),
        models: Vec::new(),
        version: version.into(),
    }
}

fn started(at_ms: u64) -> Upstreams {
    let mut upstreams = Upstreams::new(UpstreamsSettings::default(), "entry");
    let list = ListUpdate::Snapshot(vec![record("a", "v1")]);
    upstreams.update(list, Revision::new(0, 1), at_ms);
    upstreams
}

fn replace(upstreams: &mut Upstreams, now_ms: u64) {
    upstreams.update(ListUpdate::Listed(record("b", "v2")), Revision::new(0, 2), now_ms);
    upstreams.update(ListUpdate::Unlisted { id: "a".to_owned() }, Revision::new(0, 3), now_ms);
}

#[test]
fn the_only_version_is_certain_once_every_stream_began_at_it() {
    let mut upstreams = started(1_000);
    assert_eq!(upstreams.sole_version("s", 2_000), None, "another one may have just left");
    let certain_ms = 1_000 + STREAM_LIFETIME_MS;
    assert_eq!(upstreams.sole_version("s", certain_ms).as_deref(), Some("v1"));
    replace(&mut upstreams, certain_ms);
    assert_eq!(upstreams.sole_version("s", certain_ms + 1), None);
    upstreams.expire(certain_ms + STREAM_LIFETIME_MS);
    assert_eq!(upstreams.sole_version("s", certain_ms + STREAM_LIFETIME_MS).as_deref(), Some("v2"));
}

#[test]
fn a_restarted_entry_learns_the_former_versions_from_others() {
    let mut other = started(0);
    let now_ms = STREAM_LIFETIME_MS + 5_000;
    let mut restarted = started(100);
    restarted.merge_versions(&other.reported_versions(now_ms), 200);
    assert_eq!(restarted.sole_version("s", 201).as_deref(), Some("v1"));
    replace(&mut other, now_ms);
    let mut restarted = Upstreams::new(UpstreamsSettings::default(), "entry");
    let list = ListUpdate::Snapshot(vec![record("b", "v2")]);
    restarted.update(list, Revision::new(0, 3), 100);
    restarted.merge_versions(&other.reported_versions(now_ms + 500), 200);
    assert_eq!(restarted.sole_version("s", 201), None, "streams of the first version may go on");
    restarted.expire(STREAM_LIFETIME_MS);
    assert_eq!(restarted.sole_version("s", STREAM_LIFETIME_MS).as_deref(), Some("v2"));
}

#[test]
fn a_version_that_only_leaves_can_serve_nothing() {
    let mut upstreams = started(0);
    assert!(upstreams.has_version("s", "v1") && !upstreams.has_version("s", "v2"));
    let draining = UpstreamRecord { is_draining: true, sequence: 2, ..record("a", "v1") };
    upstreams.update(ListUpdate::Listed(draining), Revision::new(0, 2), 1);
    assert!(!upstreams.has_version("s", "v1"));
}
