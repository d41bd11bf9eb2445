use super::*;

fn after(ends: &[bool]) -> ResponseEnds {
    let mut record = ResponseEnds::default();
    for is_whole in ends {
        match is_whole {
            true => record.record_whole(),
            false => record.record_failure(),
        }
    }
    record
}

#[test]
fn an_upstream_is_waited_for_briefly_once_it_is_proven() {
    for (whole, expected_ms) in [(0, 200), (1, 200), (2, 200), (3, 25), (1_000, 25)] {
        assert_eq!(after(&vec![true; whole]).confirmation_ms(), expected_ms, "{whole}");
    }
}

#[test]
fn a_response_that_breaks_off_takes_the_proof_away() {
    let mut ends = vec![true; 300];
    ends.push(false);
    assert_eq!(after(&ends).confirmation_ms(), LONG_CONFIRMATION_MS);
    ends.extend([true, true]);
    assert_eq!(after(&ends).confirmation_ms(), LONG_CONFIRMATION_MS);
    ends.push(true);
    assert_eq!(after(&ends).confirmation_ms(), SHORT_CONFIRMATION_MS);
}
