use super::*;

const REQUEST: RequestHash = RequestHash(7);

fn digest() -> Digest {
    Digest([7; 32])
}

fn crash(tracker: &mut CrashTracker, incarnation: u64, now_ms: u64) -> bool {
    tracker.on_crash(Incarnation(incarnation), digest(), REQUEST, now_ms)
}

#[test]
fn request_is_refused_after_three_upstream_incarnations_crashed_until_strikes_expire() {
    let mut tracker = CrashTracker::new();
    for incarnation in 0..2 {
        assert!(crash(&mut tracker, incarnation, 100 * incarnation));
        assert!(!tracker.is_refused(digest(), 1_000));
    }
    // Two copies of the request ran on the same incarnation; its crash counts once.
    assert!(crash(&mut tracker, 1, 150));
    assert!(!tracker.is_refused(digest(), 1_000));
    assert!(crash(&mut tracker, 2, 1_000));
    assert!(tracker.is_refused(digest(), 1_000));
    tracker.expire(STRIKE_RETENTION_MS + 1_000);
    assert!(tracker.is_empty());
    assert!(!tracker.is_refused(digest(), STRIKE_RETENTION_MS + 1_000));
}

#[test]
fn completion_prevents_strikes_of_later_crashes_and_clears_those_of_earlier_ones() {
    let mut tracker = CrashTracker::new();
    tracker.on_complete(REQUEST, digest, 0);
    for incarnation in 0..3 {
        assert!(!crash(&mut tracker, incarnation, COMPLETION_RETENTION_MS - 1));
    }
    for incarnation in 3..6 {
        assert!(crash(&mut tracker, incarnation, COMPLETION_RETENTION_MS));
    }
    assert!(tracker.is_refused(digest(), COMPLETION_RETENTION_MS));
    tracker.on_complete(REQUEST, digest, COMPLETION_RETENTION_MS + 1);
    assert!(!tracker.is_refused(digest(), COMPLETION_RETENTION_MS + 1));
}

#[test]
fn recorded_completions_are_limited_and_expired_ones_removed() {
    let mut tracker = CrashTracker::new();
    for number in 0..2 * MAX_COMPLETIONS as u64 {
        tracker.on_complete(RequestHash(number), digest, 0);
    }
    assert_eq!(tracker.completed_ms_by_request.len(), MAX_COMPLETIONS);
    tracker.on_complete(REQUEST, digest, COMPLETION_RETENTION_MS);
    assert_eq!(tracker.completed_ms_by_request.len(), 1);
}
