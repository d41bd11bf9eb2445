use super::*;

const REQUEST: RequestHash = RequestHash(7);

fn digest() -> Digest {
    Digest([7; 32])
}

fn crash(watch: &mut CrashTracker, run: u64, now_ms: u64) -> bool {
    watch.on_crash(Incarnation(run), digest(), REQUEST, now_ms)
}

#[test]
fn a_request_is_refused_after_it_crashed_three_upstreams() {
    let mut watch = CrashTracker::new();
    for run in 0..2 {
        assert!(crash(&mut watch, run, 100 * run));
        assert!(!watch.is_refused(digest(), 1_000));
    }
    // The same run is lost by two of its copies.
    assert!(crash(&mut watch, 1, 150));
    assert!(!watch.is_refused(digest(), 1_000));
    assert!(crash(&mut watch, 2, 1_000));
    assert!(watch.is_refused(digest(), 1_000));
    watch.expire(RETENTION_MS + 1_000);
    assert!(watch.is_empty());
    assert!(!watch.is_refused(digest(), RETENTION_MS + 1_000));
}

#[test]
fn a_completion_speaks_for_a_request_before_and_after() {
    let mut watch = CrashTracker::new();
    watch.on_complete(REQUEST, digest, 0);
    for run in 0..3 {
        assert!(!crash(&mut watch, run, COMPLETED_MS - 1));
    }
    for run in 3..6 {
        assert!(crash(&mut watch, run, COMPLETED_MS));
    }
    assert!(watch.is_refused(digest(), COMPLETED_MS));
    watch.on_complete(REQUEST, digest, COMPLETED_MS + 1);
    assert!(!watch.is_refused(digest(), COMPLETED_MS + 1));
}

#[test]
fn completions_are_bounded() {
    let mut watch = CrashTracker::new();
    for number in 0..2 * MAX_COMPLETED as u64 {
        watch.on_complete(RequestHash(number), digest, 0);
    }
    assert_eq!(watch.completed.len(), MAX_COMPLETED);
    watch.on_complete(REQUEST, digest, COMPLETED_MS);
    assert_eq!(watch.completed.len(), 1);
}
