use super::*;

#[test]
fn a_configuration_is_asked_for_once_and_only_where_the_platform_does_not_tell_of_it() {
    let mut missing_configuration = MissingConfiguration::default();
    assert!(!missing_configuration.begin_fetch(Some(1), 2, 0), "the platform may tell of it");
    assert!(!missing_configuration.begin_fetch(Some(1), 3, 599));
    assert!(missing_configuration.begin_fetch(Some(1), 3, 600));
    assert!(!missing_configuration.begin_fetch(Some(1), 3, 601), "it is being asked for");
    assert!(
        missing_configuration.begin_fetch(Some(1), 3, 600 + HELLO_TIMEOUT_MS),
        "the one that was asked is gone"
    );
}

#[test]
fn changes_that_the_platform_tells_of_in_time_are_never_asked_for() {
    let mut missing_configuration = MissingConfiguration::default();
    for version in 1..100 {
        let now_ms = version * 300;
        assert!(!missing_configuration.begin_fetch(Some(version), version + 1, now_ms));
        assert!(!missing_configuration.begin_fetch(Some(version), version + 2, now_ms + 299));
    }
}

#[test]
fn an_entry_without_a_configuration_asks_at_once() {
    assert!(MissingConfiguration::default().begin_fetch(None, 7, 0));
}
