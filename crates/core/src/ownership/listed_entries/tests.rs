use super::*;

fn names(names: &[&str]) -> FastSet<String> {
    names.iter().map(|it| (*it).to_owned()).collect()
}

#[test]
fn an_entry_that_a_restored_list_lacks_is_kept_until_it_had_time_to_register_again() {
    let mut listed = ListedEntries::default();
    assert!(listed.replace(names(&["a", "b", "c"]), Revision::new(1, 90), 0).is_empty());
    assert!(listed.replace(names(&["a"]), Revision::new(2, 40), 1_000).is_empty());
    listed.add("b");
    assert!(listed.take_expired(10_999).is_empty());
    assert_eq!(listed.take_expired(11_000), ["c"]);
    assert!(listed.take_expired(20_000).is_empty(), "an entry is removed once");
}

#[test]
fn within_an_era_an_entry_that_is_not_listed_is_removed_at_once() {
    let mut listed = ListedEntries::default();
    listed.replace(names(&["a", "b"]), Revision::new(1, 5), 0);
    assert_eq!(listed.replace(names(&["a"]), Revision::new(1, 6), 10), ["b"]);
}

#[test]
fn a_list_of_an_earlier_era_changes_nothing() {
    let mut listed = ListedEntries::default();
    listed.replace(names(&["a", "b"]), Revision::new(2, 5), 0);
    assert!(listed.replace(names(&["a"]), Revision::new(1, 60), 10).is_empty());
    assert!(listed.replace(names(&["a", "b"]), Revision::new(2, 6), 20).is_empty());
}
