use super::*;

#[test]
fn a_configuration_is_fetched_once_and_only_if_the_platform_does_not_deliver_it() {
    let mut missing_configuration = MissingConfiguration::default();
    assert!(!missing_configuration.begin_fetch(Some(1), 2, 0), "the platform may still deliver it");
    assert!(!missing_configuration.begin_fetch(Some(1), 3, 599));
    assert!(missing_configuration.begin_fetch(Some(1), 3, 600));
    assert!(!missing_configuration.begin_fetch(Some(1), 3, 601), "a fetch is in progress");
    assert!(
        missing_configuration.begin_fetch(Some(1), 3, 600 + HELLO_TIMEOUT_MS),
        "the fetch in progress has timed out"
    );
}

#[test]
fn changes_that_the_platform_delivers_in_time_are_never_fetched() {
    let mut missing_configuration = MissingConfiguration::default();
    for version in 1..100 {
        let now_ms = version * 300;
        assert!(!missing_configuration.begin_fetch(Some(version), version + 1, now_ms));
        assert!(!missing_configuration.begin_fetch(Some(version), version + 2, now_ms + 299));
    }
}

#[test]
fn an_entry_without_a_configuration_fetches_at_once() {
    assert!(MissingConfiguration::default().begin_fetch(None, 7, 0));
}
