use super::*;

#[test]
fn a_configuration_is_asked_for_once_and_only_where_the_platform_does_not_tell_of_it() {
    let mut missing = Missing::default();
    assert!(!missing.begin(Some(1), 2, 0), "the platform may tell of it");
    assert!(!missing.begin(Some(1), 3, 599));
    assert!(missing.begin(Some(1), 3, 600));
    assert!(!missing.begin(Some(1), 3, 601), "it is being asked for");
    assert!(missing.begin(Some(1), 3, 600 + HELLO_TIMEOUT_MS), "the one that was asked is gone");
}

#[test]
fn changes_that_the_platform_tells_of_in_time_are_never_asked_for() {
    let mut missing = Missing::default();
    for version in 1..100 {
        let now_ms = version * 300;
        assert!(!missing.begin(Some(version), version + 1, now_ms));
        assert!(!missing.begin(Some(version), version + 2, now_ms + 299));
    }
}

#[test]
fn an_entry_without_a_configuration_asks_at_once() {
    assert!(Missing::default().begin(None, 7, 0));
}
