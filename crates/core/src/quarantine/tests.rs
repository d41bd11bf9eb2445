//! Unit tests of the quarantine module.

use super::*;
use crate::ids::{Digest, Incarnation};

const LIMITS: QuarantineLimits =
    QuarantineLimits { strikes: 2, retention_ms: 1000, max_strikes: 4 };
const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn fingerprint(byte: u8) -> Digest {
    Digest([byte; 32])
}

#[test]
fn request_with_two_strikes_and_alone_in_one_of_them_is_refused() {
    let (crashing, innocent) = (fingerprint(1), fingerprint(2));
    let mut quarantine = Quarantine::new(LIMITS);
    assert_eq!(quarantine.admit(crashing, 0), Admission::Normal);
    assert_eq!(quarantine.on_crash(A, 1, &[crashing, innocent], 0).len(), 2);
    assert_eq!(quarantine.admit(crashing, 1), Admission::Exclusive);
    assert_eq!(quarantine.admit(innocent, 1), Admission::Exclusive);
    quarantine.on_complete(innocent);
    quarantine.on_crash(B, 1, &[crashing], 2);
    assert_eq!(quarantine.admit(crashing, 3), Admission::Refused);
    assert_eq!(quarantine.admit(innocent, 3), Admission::Normal);
}

#[test]
fn request_that_only_shared_crashed_upstreams_is_never_refused() {
    let innocent = fingerprint(9);
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 0..3 {
        quarantine.on_crash(A, number, &[innocent, fingerprint(number as u8)], 0);
    }
    assert_eq!(quarantine.admit(innocent, 0), Admission::Exclusive);
}

#[test]
fn copies_of_one_request_get_one_strike_and_count_as_alone() {
    let mut quarantine = Quarantine::new(LIMITS);
    let strikes = quarantine.on_crash(A, 1, &[fingerprint(1), fingerprint(1)], 0);
    assert_eq!(strikes.len(), 1);
    assert!(strikes[0].alone);
}

#[test]
fn merging_is_idempotent_and_keeps_cleared_strikes_cleared() {
    let crashing = fingerprint(1);
    let mut local = Quarantine::new(LIMITS);
    let mut peer = Quarantine::new(LIMITS);
    let strikes = local.on_crash(A, 1, &[crashing], 0);
    peer.merge(&strikes, 0);
    peer.merge(&strikes, 5);
    assert_eq!((peer.len(), peer.admit(crashing, 5)), (1, Admission::Exclusive));
    peer.on_complete(crashing);
    local.merge(&peer.recent_strikes(6), 6);
    peer.merge(&strikes, 7);
    assert_eq!(local.admit(crashing, 7), Admission::Normal);
    assert_eq!(peer.admit(crashing, 7), Admission::Normal);
}

#[test]
fn expired_strikes_are_not_received_again_from_peers() {
    let crashing = fingerprint(1);
    let mut local = Quarantine::new(LIMITS);
    let mut peer = Quarantine::new(LIMITS);
    local.on_crash(A, 1, &[crashing], 0);
    peer.merge(&local.recent_strikes(499), 499);
    assert_eq!(local.recent_strikes(500), Vec::new());
    assert_eq!(peer.recent_strikes(500), Vec::new());
    assert_eq!(peer.admit(crashing, 999), Admission::Exclusive);
    assert_eq!(peer.admit(crashing, 1000), Admission::Normal);
    peer.expire(1000);
    assert!(peer.is_empty());
}

#[test]
fn oldest_strikes_are_evicted_first_above_the_limit() {
    let mut quarantine = Quarantine::new(LIMITS);
    for byte in 0..6 {
        quarantine.on_crash(A, u32::from(byte), &[fingerprint(byte)], u64::from(byte));
    }
    assert_eq!(quarantine.len(), 4);
    assert_eq!(quarantine.admit(fingerprint(1), 6), Admission::Normal);
    assert_eq!(quarantine.admit(fingerprint(2), 6), Admission::Exclusive);
}

#[test]
fn suspect_starts_only_while_no_other_copy_is_in_progress() {
    let mut tracker = SuspectTracker::new();
    let request = fingerprint(1);
    assert!(tracker.start(request, Admission::Normal));
    assert!(tracker.start(request, Admission::Normal));
    assert!(!tracker.start(request, Admission::Exclusive));
    tracker.finish(request);
    tracker.finish(request);
    assert_eq!(tracker.in_progress(request), 0);
    assert!(tracker.start(request, Admission::Exclusive));
    assert!(!tracker.start(fingerprint(2), Admission::Refused));
}

#[test]
fn order_of_candidates_does_not_change_the_upstream_of_a_suspect() {
    let request = fingerprint(1);
    let chosen = exclusive_upstream(request, &[A, B]);
    assert!(chosen.is_some());
    assert_eq!(chosen, exclusive_upstream(request, &[B, A]));
    assert_eq!(exclusive_upstream(request, &[]), None);
}
