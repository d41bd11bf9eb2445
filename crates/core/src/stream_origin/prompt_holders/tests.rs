use super::*;

fn holders(parts: &[(&str, &str)]) -> PromptHolders {
    let mut holders = PromptHolders::default();
    for (version, part) in parts {
        holders.add(&Arc::from(*version), &[(*part).to_owned()]);
    }
    holders
}

#[test]
fn a_part_tells_its_version_only_if_no_other_one_keeps_it() {
    let holders = holders(&[("v1", "a"), ("v1", "a"), ("v2", "b"), ("v1", "c"), ("v2", "c")]);
    assert_eq!(holders.version_of("a").map(|it| &**it), Some("v1"));
    assert_eq!(holders.version_of("b").map(|it| &**it), Some("v2"));
    assert_eq!(holders.version_of("c"), None);
    assert_eq!(holders.version_of("d"), None);
}

#[test]
fn an_upstream_of_another_version_that_does_not_answer_leaves_the_origin_open() {
    let mut holders = holders(&[("v1", "a"), ("v2", "b")]);
    holders.add_unknown(&Arc::from("v1"));
    assert_eq!(holders.version_of("a").map(|it| &**it), Some("v1"));
    assert_eq!(holders.version_of("b"), None);
}
