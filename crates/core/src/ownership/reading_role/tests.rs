use super::*;

const FOLLOWER: RoleInputs = RoleInputs {
    has_entries: true,
    is_reader: false,
    has_source: true,
    has_detached_source: false,
    does_platform_respond: false,
};

fn decide(decision: &mut RoleDecision, inputs: RoleInputs, now_ms: u64) -> ReadingRole {
    decision.update(inputs, now_ms);
    decision.role()
}

#[test]
fn an_entry_reads_only_the_entries_until_it_knows_whom_to_follow() {
    let mut decision = RoleDecision::new(0, 0);
    let unknown = RoleInputs { has_entries: false, has_source: false, ..FOLLOWER };
    assert_eq!(decide(&mut decision, unknown, 10), ReadingRole::Starts);
    let known = RoleInputs { has_source: false, has_detached_source: true, ..FOLLOWER };
    assert_eq!(decide(&mut decision, known, 20), ReadingRole::Starts);
    assert_eq!(decide(&mut decision, FOLLOWER, 60), ReadingRole::Follows);
}

#[test]
fn an_entry_that_the_platform_does_not_tell_of_others_reads_after_a_while() {
    let mut decision = RoleDecision::new(0, 0);
    let unknown = RoleInputs { has_entries: false, has_source: false, ..FOLLOWER };
    assert_eq!(decide(&mut decision, unknown, START_GRACE_MS), ReadingRole::Reads);
}

#[test]
fn an_entry_whose_sources_are_lost_reads_at_once() {
    let mut decision = RoleDecision::new(0, 300);
    decide(&mut decision, FOLLOWER, 2_000);
    let lost = RoleInputs { has_source: false, ..FOLLOWER };
    assert_eq!(decide(&mut decision, lost, 5_000), ReadingRole::Reads);
    assert_eq!(decide(&mut decision, FOLLOWER, 5_100), ReadingRole::Follows);
}

#[test]
fn an_entry_that_takes_the_place_of_a_rejected_reader_checks_the_platform_first() {
    let mut decision = RoleDecision::new(0, 300);
    decide(&mut decision, FOLLOWER, 2_000);
    let reader = RoleInputs { is_reader: true, has_detached_source: true, ..FOLLOWER };
    assert_eq!(decide(&mut decision, reader, 5_000), ReadingRole::Checks);
    let responds = RoleInputs { does_platform_respond: true, ..reader };
    assert_eq!(decide(&mut decision, responds, 5_010), ReadingRole::Reads);
    assert_eq!(decide(&mut decision, reader, 5_020), ReadingRole::Reads, "it goes on reading");
}

#[test]
fn an_entry_whose_sources_are_rejected_checks_the_platform_before_it_reads() {
    let mut decision = RoleDecision::new(0, 300);
    decide(&mut decision, FOLLOWER, 2_000);
    let rejected = RoleInputs { has_source: false, has_detached_source: true, ..FOLLOWER };
    assert_eq!(decide(&mut decision, rejected, 5_000), ReadingRole::Waits);
    assert_eq!(decide(&mut decision, rejected, 5_300), ReadingRole::Checks);
    let responds = RoleInputs { does_platform_respond: true, ..rejected };
    assert_eq!(decide(&mut decision, responds, 5_310), ReadingRole::Reads);
}
