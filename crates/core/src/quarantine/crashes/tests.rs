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

const DEADLY: Digest = Digest([1; 32]);
const SHARED: Digest = Digest([2; 32]);
const OTHER: Digest = Digest([3; 32]);

fn judge(tracker: &mut CrashTracker, parts: &[Digest], now_ms: u64) -> PartVerdict {
    tracker.judge_parts(parts, digest, now_ms)
}

#[test]
fn a_part_is_refused_after_three_crashes_of_requests_that_are_not_alike() {
    let mut tracker = CrashTracker::new();
    let verdicts = [PartVerdict::Struck, PartVerdict::NoRetry, PartVerdict::Refused];
    for (number, verdict) in verdicts.into_iter().enumerate() {
        let own = Digest([10 + number as u8; 32]);
        tracker.on_part_crash(Incarnation(number as u64), &[DEADLY, own], 100);
        assert_eq!(judge(&mut tracker, &[DEADLY, OTHER], 100), verdict);
        assert_eq!(judge(&mut tracker, &[OTHER], 100), PartVerdict::Clear);
    }
}

#[test]
fn parts_that_were_always_together_are_told_apart_by_a_request_with_one_of_them() {
    for is_answered in [true, false] {
        let mut tracker = CrashTracker::new();
        for incarnation in 0..3 {
            tracker.on_part_crash(Incarnation(incarnation), &[SHARED, DEADLY], 100);
        }
        assert_eq!(judge(&mut tracker, &[SHARED, DEADLY, OTHER], 100), PartVerdict::Refused);
        assert_eq!(judge(&mut tracker, &[SHARED, OTHER], 100), PartVerdict::NoRetry);
        if is_answered {
            tracker.on_parts_sound(&[SHARED, OTHER], 200);
            assert_eq!(judge(&mut tracker, &[SHARED, OTHER], 200), PartVerdict::Clear);
        } else {
            tracker.on_part_crash(Incarnation(3), &[OTHER, DEADLY], 200);
            assert_eq!(judge(&mut tracker, &[SHARED, OTHER], 200), PartVerdict::NoRetry);
        }
        assert_eq!(judge(&mut tracker, &[DEADLY], 200), PartVerdict::Refused);
    }
}

#[test]
fn a_part_that_was_refused_is_refused_again_after_one_crash_unless_it_was_sound_since() {
    let mut tracker = CrashTracker::new();
    for incarnation in 0..3 {
        tracker.on_part_crash(Incarnation(incarnation), &[DEADLY], 0);
    }
    // The other entries have not told yet whether another part explains the same crashes.
    assert_eq!(judge(&mut tracker, &[DEADLY], 4_999), PartVerdict::Refused);
    assert!(tracker.parts.refused_ms.is_empty());
    assert_eq!(judge(&mut tracker, &[DEADLY], 5_000), PartVerdict::Refused);
    let expired_ms = STRIKE_RETENTION_MS + 1;
    tracker.expire(expired_ms);
    assert_eq!(judge(&mut tracker, &[DEADLY], expired_ms), PartVerdict::Clear);
    tracker.on_part_crash(Incarnation(3), &[DEADLY], expired_ms);
    assert_eq!(judge(&mut tracker, &[DEADLY], expired_ms), PartVerdict::Refused);
    tracker.on_parts_sound(&[DEADLY], expired_ms + 1);
    tracker.on_part_crash(Incarnation(4), &[DEADLY], expired_ms + 2);
    assert_eq!(judge(&mut tracker, &[DEADLY], expired_ms + 2), PartVerdict::Struck);
}

#[test]
fn strikes_from_before_a_part_was_sound_do_not_count_when_they_arrive_later() {
    let (mut one, mut other) = (CrashTracker::new(), CrashTracker::new());
    for incarnation in 0..3 {
        one.on_part_crash(Incarnation(incarnation), &[SHARED], 100);
    }
    other.on_parts_sound(&[SHARED], 200);
    other.merge(&one.recent_strikes(300), 300);
    assert_eq!(judge(&mut other, &[SHARED], 300), PartVerdict::Clear);
    one.merge(&other.recent_strikes(400), 400);
    assert_eq!(judge(&mut one, &[SHARED], 400), PartVerdict::Clear);
}

#[test]
fn strikes_of_a_deadly_part_are_propagated_before_those_of_many_others() {
    let (mut one, mut other) = (CrashTracker::new(), CrashTracker::new());
    for incarnation in 0..3 {
        one.on_part_crash(Incarnation(incarnation), &[DEADLY], 0);
    }
    for number in 0..200_u64 {
        one.on_part_crash(Incarnation(3 + number), &[Digest::of(&number.to_be_bytes())], 100);
    }
    other.merge(&one.recent_strikes(200), 200);
    assert_eq!(judge(&mut other, &[DEADLY], 200), PartVerdict::Refused);
}
