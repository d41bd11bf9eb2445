//! Unit tests of the quarantine slice.

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
fn two_stops_with_one_alone_condemn() {
    let (poison, innocent) = (fingerprint(1), fingerprint(2));
    let mut quarantine = Quarantine::new(LIMITS);
    assert_eq!(quarantine.admit(poison, 0), Admission::Normal);
    assert_eq!(quarantine.on_crash(A, 1, &[poison, innocent], 0).len(), 2);
    assert_eq!(quarantine.admit(poison, 1), Admission::Exclusive);
    assert_eq!(quarantine.admit(innocent, 1), Admission::Exclusive);
    quarantine.on_complete(innocent);
    quarantine.on_crash(B, 1, &[poison], 2);
    assert_eq!(quarantine.admit(poison, 3), Admission::Refused);
    assert_eq!(quarantine.admit(innocent, 3), Admission::Normal);
}

#[test]
fn sharing_upstreams_never_condemns() {
    let innocent = fingerprint(9);
    let mut quarantine = Quarantine::new(LIMITS);
    for number in 0..3 {
        quarantine.on_crash(A, number, &[innocent, fingerprint(number as u8)], 0);
    }
    assert_eq!(quarantine.admit(innocent, 0), Admission::Exclusive);
}

#[test]
fn copies_of_one_request_count_as_alone() {
    let mut quarantine = Quarantine::new(LIMITS);
    let strikes = quarantine.on_crash(A, 1, &[fingerprint(1), fingerprint(1)], 0);
    assert_eq!(strikes.len(), 1);
    assert!(strikes[0].alone);
}

#[test]
fn merging_is_idempotent_and_keeps_clearances() {
    let poison = fingerprint(1);
    let mut here = Quarantine::new(LIMITS);
    let mut there = Quarantine::new(LIMITS);
    let strikes = here.on_crash(A, 1, &[poison], 0);
    there.merge(&strikes, 0);
    there.merge(&strikes, 5);
    assert_eq!((there.len(), there.admit(poison, 5)), (1, Admission::Exclusive));
    there.on_complete(poison);
    here.merge(&there.recent_strikes(6), 6);
    there.merge(&strikes, 7);
    assert_eq!(here.admit(poison, 7), Admission::Normal);
    assert_eq!(there.admit(poison, 7), Admission::Normal);
}

#[test]
fn strikes_expire_and_do_not_come_back() {
    let poison = fingerprint(1);
    let mut here = Quarantine::new(LIMITS);
    let mut there = Quarantine::new(LIMITS);
    here.on_crash(A, 1, &[poison], 0);
    there.merge(&here.recent_strikes(499), 499);
    assert_eq!(here.recent_strikes(500), Vec::new());
    assert_eq!(there.recent_strikes(500), Vec::new());
    assert_eq!(there.admit(poison, 999), Admission::Exclusive);
    assert_eq!(there.admit(poison, 1000), Admission::Normal);
    there.expire(1000);
    assert!(there.is_empty());
}

#[test]
fn the_oldest_strikes_are_forgotten_first() {
    let mut quarantine = Quarantine::new(LIMITS);
    for byte in 0..6 {
        quarantine.on_crash(A, u32::from(byte), &[fingerprint(byte)], u64::from(byte));
    }
    assert_eq!(quarantine.len(), 4);
    assert_eq!(quarantine.admit(fingerprint(1), 6), Admission::Normal);
    assert_eq!(quarantine.admit(fingerprint(2), 6), Admission::Exclusive);
}

#[test]
fn a_suspect_runs_one_copy_at_a_time() {
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
fn entries_agree_on_the_upstream_of_a_suspect() {
    let request = fingerprint(1);
    let chosen = exclusive_upstream(request, &[A, B]);
    assert!(chosen.is_some());
    assert_eq!(chosen, exclusive_upstream(request, &[B, A]));
    assert_eq!(exclusive_upstream(request, &[]), None);
}
