use super::*;

#[test]
fn no_call_is_made_during_a_rest_and_calls_rise_step_by_step_after_it() {
    let mut rest = Rest::default();
    assert_eq!(rest.max_in_flight(8, 50), u32::MAX);
    assert_eq!(rest.extend(1.5, 100), RestRequest::Stated);
    assert_eq!(rest.max_in_flight(8, 1_599), 0);
    assert_eq!(rest.max_in_flight(8, 1_600), 1);
    assert_eq!(rest.max_in_flight(8, 2_100), 4);
    assert_eq!(rest.max_in_flight(8, 2_600), u32::MAX);
}

#[test]
fn a_shorter_request_does_not_end_a_rest() {
    let mut rest = Rest::default();
    rest.extend(3.0, 0);
    rest.extend(0.5, 100);
    assert_eq!(rest.remaining_ms(1_000), 2_000);
}

#[test]
fn values_out_of_range_have_a_bounded_meaning() {
    for (seconds, expected_ms, request) in [
        (f64::NAN, DEFAULT_REST_MS, RestRequest::Replaced),
        (-1.0, DEFAULT_REST_MS, RestRequest::Replaced),
        (f64::INFINITY, MAX_REST_MS, RestRequest::Shortened),
        (1e18, MAX_REST_MS, RestRequest::Shortened),
        (0.0, 0, RestRequest::Stated),
    ] {
        let mut rest = Rest::default();
        assert_eq!(rest.extend(seconds, 0), request);
        assert_eq!(rest.remaining_ms(0), expected_ms);
    }
}
