use proptest::{prelude::*, test_runner::RngSeed};

use crate::event_stream::EventFramer;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid:2\ndata: b\ndata: c\n\nx-version:3\nid: 3\ndata: d\n\n";

#[test]
fn an_incomplete_event_is_buffered() {
    let mut framer = EventFramer::new();
    assert_eq!(framer.push(b"id: 1\nda"), None);
    assert!(!framer.is_empty());
    let events = framer.push(b"ta: a\n\nid: 2\n").unwrap();
    assert_eq!(events.bytes, b"id: 1\ndata: a\n\n".as_slice());
    assert_eq!(events.last_id, Some(1));
    assert!(!framer.is_empty());
}

#[test]
fn events_with_crlf_line_endings_are_split() {
    let mut framer = EventFramer::new();
    let events = framer.push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n").unwrap();
    assert_eq!(events.bytes, b"id: 4\r\ndata: a\r\n\r\n".as_slice());
    assert_eq!(events.last_id, Some(4));
    assert_eq!(events.count, 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_603),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_bytes_are_forwarded_unchanged_wherever_the_stream_is_split(
        cuts in prop::collection::vec(0..STREAM.len(), 0..8),
    ) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut framer = EventFramer::new();
        let mut forwarded = Vec::new();
        let (mut last_id, mut count) = (None, 0);
        for pair in cuts.windows(2) {
            let Some(events) = framer.push(&STREAM[pair[0]..pair[1]]) else { continue };
            prop_assert!(events.bytes.ends_with(b"\n\n"));
            forwarded.extend_from_slice(&events.bytes);
            last_id = events.last_id.or(last_id);
            count += events.count;
        }
        prop_assert_eq!(forwarded, STREAM);
        prop_assert_eq!((last_id, count), (Some(3), 3));
        prop_assert!(framer.is_empty());
    }
}

#[test]
fn the_first_identifier_is_that_of_the_first_event() {
    let first_id = |bytes: &[u8]| EventFramer::new().push(bytes).unwrap().first_id;
    assert_eq!(first_id(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\n"), Some(3));
    assert_eq!(first_id(b"data: a\r\nid: 3\r\n\r\n"), Some(3));
    assert_eq!(first_id(b"data: a\n\nid: 4\n\n"), None);
    assert_eq!(first_id(b"HTTP/1.1 500 Internal Server Error\r\n\r\n"), None);
}
