use super::*;

#[test]
fn a_configuration_is_fetched_only_if_the_platform_does_not_deliver_it() {
    let mut offers = ConfigurationOffers::default();
    offers.offer("a", 2, false, Some(1), 0);
    assert_eq!(offers.entry_to_ask(Some(1), 0), None, "the platform may still deliver it");
    offers.offer("a", 3, false, Some(1), 599);
    assert_eq!(offers.entry_to_ask(Some(1), 599), None);
    assert_eq!(offers.entry_to_ask(Some(1), 600).as_deref(), Some("a"));
    assert_eq!(offers.entry_to_ask(Some(3), 601), None);
    assert!(!offers.is_outdated(Some(3)));
}

#[test]
fn changes_that_the_platform_delivers_in_time_are_never_fetched() {
    let mut offers = ConfigurationOffers::default();
    for version in 1..100 {
        let now_ms = version * 300;
        offers.offer("a", version + 1, false, Some(version), now_ms);
        assert_eq!(offers.entry_to_ask(Some(version), now_ms), None);
        offers.offer("a", version + 2, false, Some(version), now_ms + 299);
        assert_eq!(offers.entry_to_ask(Some(version), now_ms + 299), None);
    }
}

#[test]
fn an_entry_without_a_configuration_fetches_at_once() {
    let mut offers = ConfigurationOffers::default();
    offers.offer("a", 7, false, None, 0);
    assert_eq!(offers.entry_to_ask(None, 0).as_deref(), Some("a"));
}

#[test]
fn the_entry_that_is_followed_is_asked_at_once_and_others_after_it_has_failed() {
    let mut offers = ConfigurationOffers::default();
    offers.offer("a", 2, false, Some(1), 0);
    offers.offer("b", 2, true, Some(1), 0);
    assert_eq!(offers.entry_to_ask(Some(1), 0).as_deref(), Some("b"));
    offers.record_failure("b");
    assert_eq!(offers.entry_to_ask(Some(1), 50).as_deref(), Some("b"), "others have to wait");
    assert_eq!(offers.entry_to_ask(Some(1), 600).as_deref(), Some("a"));
    offers.record_failure("a");
    assert_eq!(offers.entry_to_ask(Some(1), 700).as_deref(), Some("b"), "they take turns");
    offers.withdraw("b");
    assert_eq!(offers.entry_to_ask(Some(1), 700).as_deref(), Some("a"));
}
