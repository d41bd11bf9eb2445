use super::*;

#[test]
fn a_result_is_repeated_within_a_response_and_in_the_next_ones() {
    let mut recent = RecentResults::default();
    assert!(!recent.record(["10.0.0.1:80/a", "10.0.0.1:80/b"].into_iter()));
    assert!(!recent.record(["10.0.0.1:80/c"].into_iter()));
    assert!(recent.record(["10.0.0.1:80/d", "10.0.0.1:80/b"].into_iter()));
    assert!(recent.record(["10.0.0.1:80/e", "10.0.0.1:80/e"].into_iter()));
}

#[test]
fn the_number_of_remembered_results_is_bounded() {
    let mut recent = RecentResults::default();
    let handles: Vec<String> = (0..=MAX_RESULTS).map(|it| it.to_string()).collect();
    assert!(!recent.record(handles.iter().map(String::as_str)));
    assert_eq!(recent.digests.len(), MAX_RESULTS);
    assert!(!recent.record(["0"].into_iter()), "the oldest one is forgotten");
}
