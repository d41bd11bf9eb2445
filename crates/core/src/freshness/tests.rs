use crate::freshness::{Belief, BeliefFreshness};

#[test]
fn a_process_that_runs_on_never_waits() {
    let mut freshness = BeliefFreshness::new(0);
    for now_ms in (0..60_000).step_by(25) {
        assert_eq!(freshness.note_sign(now_ms), None);
        assert!(!freshness.has_to_wait(now_ms));
    }
}

#[test]
fn requests_wait_until_every_belief_was_read_again() {
    let mut freshness = BeliefFreshness::new(0);
    assert_eq!(freshness.note_sign(3_000), Some(3_000));
    assert_eq!(freshness.note_sign(3_001), None, "a pause is found once");
    for belief in [Belief::Upstreams, Belief::Configuration, Belief::Evacuations] {
        assert!(freshness.has_to_wait(3_100));
        freshness.renew(belief, 3_100);
    }
    assert!(!freshness.has_to_wait(3_100));
}

#[test]
fn without_the_platform_they_wait_half_a_second() {
    let mut freshness = BeliefFreshness::new(0);
    freshness.note_sign(5_000);
    assert!(freshness.has_to_wait(5_499));
    assert!(!freshness.has_to_wait(5_500));
    freshness.note_sign(5_500);
    freshness.note_sign(9_000);
    assert!(freshness.has_to_wait(9_001), "the next pause counts again");
}
