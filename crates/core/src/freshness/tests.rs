use crate::freshness::{PlatformData, PlatformDataFreshness};

#[test]
fn a_process_without_pauses_never_holds_requests() {
    let mut freshness = PlatformDataFreshness::new(0);
    for now_ms in (0..60_000).step_by(25) {
        assert_eq!(freshness.tick(now_ms), None);
        assert!(!freshness.must_hold_requests(now_ms));
    }
}

#[test]
fn requests_are_held_until_all_platform_data_is_read_again() {
    let mut freshness = PlatformDataFreshness::new(0);
    assert_eq!(freshness.tick(3_000), Some(3_000));
    assert_eq!(freshness.tick(3_001), None, "a pause is reported once");
    for data in [PlatformData::Upstreams, PlatformData::Configuration, PlatformData::Evacuations] {
        assert!(freshness.must_hold_requests(3_100));
        freshness.mark_refreshed(data, 3_100);
    }
    assert!(!freshness.must_hold_requests(3_100));
}

#[test]
fn requests_are_held_for_half_a_second_if_the_platform_does_not_answer() {
    let mut freshness = PlatformDataFreshness::new(0);
    freshness.tick(5_000);
    assert!(freshness.must_hold_requests(5_499));
    assert!(!freshness.must_hold_requests(5_500));
    freshness.tick(5_500);
    freshness.tick(9_000);
    assert!(freshness.must_hold_requests(9_001), "a second pause holds requests again");
}
