use proptest::{prelude::*, test_runner::RngSeed};

use crate::event_stream::EventFramer;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid:2\ndata: b\ndata: c\n\nx-version:3\nid: 3\ndata: d\n\n";

#[test]
fn part_of_an_event_is_held_back() {
    let mut cutter = EventFramer::new();
    assert_eq!(cutter.push(b"id: 1\nda"), None);
    assert!(!cutter.is_empty());
    let events = cutter.push(b"ta: a\n\nid: 2\n").unwrap();
    assert_eq!(events.bytes, b"id: 1\ndata: a\n\n".as_slice());
    assert_eq!(events.last_id, Some(1));
    assert!(!cutter.is_empty());
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut cutter = EventFramer::new();
    let events = cutter.push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n").unwrap();
    assert_eq!(events.bytes, b"id: 4\r\ndata: a\r\n\r\n".as_slice());
    assert_eq!(events.last_id, Some(4));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_603),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_byte_changes_wherever_the_stream_is_cut(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut cutter = EventFramer::new();
        let mut passed = Vec::new();
        let mut last_id = None;
        for pair in cuts.windows(2) {
            let Some(events) = cutter.push(&STREAM[pair[0]..pair[1]]) else { continue };
            prop_assert!(events.bytes.ends_with(b"\n\n"));
            passed.extend_from_slice(&events.bytes);
            last_id = events.last_id.or(last_id);
        }
        prop_assert_eq!(passed, STREAM);
        prop_assert_eq!(last_id, Some(3));
        prop_assert!(cutter.is_empty());
    }
}
