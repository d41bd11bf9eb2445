use super::*;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "model".into(), version: version.into() }
}

fn count(begun: &[BegunStreams]) -> usize {
    begun.iter().map(|it| it.streams.len()).sum()
}

#[test]
fn a_registrar_knows_the_streams_that_it_was_told_of() {
    let (mut entry, mut registrar) = (StreamOrigins::default(), StreamOrigins::default());
    entry.record(StreamKey::of("a"), &origin("v1"), 10);
    entry.record(StreamKey::of("b"), &origin("v2"), 20);
    let (begun, told) = entry.begun_after(0);
    registrar.merge(&begun, 30);
    assert_eq!(registrar.origin_of(StreamKey::of("a")), Some(&origin("v1")));
    assert_eq!(registrar.origin_of(StreamKey::of("b")), Some(&origin("v2")));
    assert_eq!(registrar.origin_of(StreamKey::of("c")), None);
    assert_eq!(entry.begun_after(told), (Vec::new(), told), "each stream is told once");
    entry.record(StreamKey::of("c"), &origin("v1"), 40);
    assert_eq!(count(&entry.begun_after(told).0), 1);
}

#[test]
fn what_an_entry_tells_does_not_grow_with_the_streams_of_the_others() {
    let mut entry = StreamOrigins::default();
    let others: Vec<StreamKey> = (0..30_000).map(|it| StreamKey::of(&format!("o{it}"))).collect();
    entry.merge(&[BegunStreams { origin: origin("v1"), streams: others }], 5);
    for number in 0..700 {
        entry.record(StreamKey::of(&format!("s{number}")), &origin("v1"), 10);
    }
    let (begun, told) = entry.begun_after(0);
    assert_eq!(count(&begun), MAX_STREAMS_SENT);
    let (begun, _) = entry.begun_after(told);
    assert_eq!(count(&begun), 200);
}

#[test]
fn a_stream_is_forgotten_some_time_after_it_began_or_went_on() {
    let mut entry = StreamOrigins::default();
    let stream = StreamKey::of("a");
    entry.record(stream, &origin("v1"), 0);
    entry.record(stream, &origin("v1"), 10_000);
    entry.expire(STREAM_LIFETIME_MS);
    assert!(entry.origin_of(stream).is_some());
    entry.expire(STREAM_LIFETIME_MS + 10_000);
    assert!(entry.origin_of(stream).is_none());
}

#[test]
fn the_oldest_streams_are_forgotten_first_when_there_are_too_many() {
    let mut entry = StreamOrigins::default();
    for number in 0..=MAX_STREAMS {
        entry.record(StreamKey::of(&number.to_string()), &origin("v1"), number as u64);
    }
    assert!(entry.origin_of(StreamKey::of("0")).is_none());
    assert!(entry.origin_of(StreamKey::of("1")).is_some());
}
