use super::*;
use crate::quarantine::{PartVerdict, RequestHash};

const REQUEST: Digest = Digest([1; 32]);
const PART: Digest = Digest([2; 32]);
const OTHER_PART: Digest = Digest([3; 32]);
const HASH: RequestHash = RequestHash(1);
/// Unix time at which the clock of the process shows 0.
const UNIX_MS: u64 = 1_790_000_000_000;

fn moment(now_ms: u64) -> Moment {
    Moment { now_ms, unix_ms: UNIX_MS + now_ms }
}

/// An entry with its tracker and record.
#[derive(Default)]
struct Entry {
    tracker: CrashTracker,
    record: CrashRecord,
}

impl Entry {
    fn crash(&mut self, upstream: u64, now_ms: u64) {
        let upstream = Incarnation(upstream);
        self.tracker.on_crash(upstream, REQUEST, HASH, now_ms);
        let unix_ms = moment(now_ms).unix_ms;
        self.record.observe(REQUEST, SuspectKind::Request, upstream, true, unix_ms);
    }

    fn crash_parts(&mut self, upstream: u64, parts: &[Digest], now_ms: u64) {
        self.tracker.on_part_crash(Incarnation(upstream), parts, now_ms);
        for part in parts {
            let unix_ms = moment(now_ms).unix_ms;
            let upstream = Incarnation(upstream);
            self.record.observe(*part, SuspectKind::Part, upstream, true, unix_ms);
        }
    }

    fn next_call(&mut self, now_ms: u64) -> Option<RecordCall> {
        self.record.next_call(&self.tracker, now_ms)
    }

    /// Makes the write that is due take effect as the given revision; returns what the object holds.
    fn write(&mut self, revision: u64, now_ms: u64) -> Vec<RecordedSuspect> {
        let write = self.next_call(now_ms).expect("a write is due");
        let (RecordCall::Create(suspects) | RecordCall::Replace { suspects, .. }) = &write else {
            panic!("unexpected {write:?}");
        };
        let suspects = suspects.clone();
        self.record.on_outcome(&write, RecordOutcome::Done(Some(revision)), now_ms);
        suspects
    }
}

#[test]
fn each_crash_is_recorded_at_once_and_refuses_the_request_after_a_restart() {
    let mut entry = Entry::default();
    assert_eq!((entry.next_call(0), entry.record.next_check_ms(0)), (None, None));
    entry.crash(1, 0);
    assert_eq!(entry.write(7, 0)[0].crashes.len(), 1);
    assert_eq!(entry.next_call(50), None);
    entry.crash(2, 60);
    assert_eq!(entry.next_call(60), None, "writes in quick succession share one");
    assert_eq!(entry.record.next_check_ms(60), Some(40));
    entry.crash(3, 70);
    let Some(RecordCall::Replace { revision: 7, .. }) = entry.next_call(100) else {
        panic!("the object is replaced");
    };
    let recorded = entry.write(8, 100);
    let mut restarted = Entry::default();
    restarted.tracker.restore(&recorded, Moment { now_ms: 5, unix_ms: moment(9_000).unix_ms });
    restarted.record.take_over(&recorded, 8);
    assert!(restarted.tracker.is_refused(REQUEST, 5));
    assert_eq!(restarted.next_call(5), None);
    // The crashes count for as long as they would have without the restart.
    let remaining_ms = STRIKE_RETENTION_MS - 9_000 + 70 + 5;
    assert!(restarted.tracker.is_refused(REQUEST, remaining_ms - 75));
    assert!(!restarted.tracker.is_refused(REQUEST, remaining_ms + 1));
}

#[test]
fn crashes_of_a_request_that_completes_are_removed_and_refuse_nothing() {
    let mut entry = Entry::default();
    for upstream in 0..3 {
        entry.crash(upstream, 0);
    }
    entry.write(7, 0);
    entry.tracker.on_complete(HASH, || REQUEST, 1_000);
    assert_eq!(entry.next_call(1_000), None, "further crashes may follow");
    let delete = RecordCall::Delete { revision: 7 };
    assert_eq!(entry.next_call(1_000 + REMOVAL_DELAY_MS), Some(delete.clone()));
    entry.record.on_outcome(&delete, RecordOutcome::Done(None), 3_000);
    assert!(entry.record.is_empty());
    assert_eq!(entry.next_call(10_000), None);
}

#[test]
fn crashes_that_are_too_old_are_removed_and_not_restored() {
    let mut entry = Entry::default();
    entry.crash(1, 0);
    let recorded = entry.write(7, 0);
    assert_eq!(entry.next_call(STRIKE_RETENTION_MS), None);
    let removed_ms = STRIKE_RETENTION_MS + REMOVAL_DELAY_MS;
    assert_eq!(entry.next_call(removed_ms), Some(RecordCall::Delete { revision: 7 }));
    let now_unix_ms = moment(STRIKE_RETENTION_MS).unix_ms;
    assert!(recorded[0].has_expired(now_unix_ms) && !recorded[0].has_expired(now_unix_ms - 1));
    let mut restarted = CrashTracker::new();
    restarted.restore(&recorded, Moment { now_ms: 0, unix_ms: now_unix_ms });
    assert!(restarted.is_empty());
    // A clock that is behind that of the writer makes no crash count for longer than one of its own.
    restarted.restore(&recorded, Moment { now_ms: 0, unix_ms: UNIX_MS - 5_000 });
    restarted.expire(STRIKE_RETENTION_MS);
    assert!(restarted.is_empty());
}

/// Sound requests share parts with requests that were running at upstreams which crashed by themselves.
#[test]
fn restored_crashes_never_refuse_a_part_whose_cause_was_not_established() {
    let mut entry = Entry::default();
    entry.crash_parts(0, &[PART, OTHER_PART], 0);
    assert_eq!(entry.next_call(0), None, "a single crash of parts is not recorded");
    for upstream in 1..5 {
        entry.crash_parts(upstream, &[PART, OTHER_PART], 0);
    }
    let recorded = entry.write(7, 0);
    assert_eq!(recorded.len(), 2);
    let mut restarted = CrashTracker::new();
    // The same crashes as recorded by two entries.
    restarted.restore(&recorded, moment(1_000));
    restarted.restore(&recorded, moment(1_000));
    let judge = |tracker: &mut CrashTracker, parts: &[Digest]| {
        tracker.judge_parts(parts, || REQUEST, 1_000)
    };
    assert_eq!(judge(&mut restarted, &[PART, OTHER_PART]), PartVerdict::NoRetry);
    // One more crash is enough to refuse the part, and an answer clears it.
    let mut crashed = restarted.clone();
    crashed.on_part_crash(Incarnation(9), &[PART], 1_000);
    assert_eq!(judge(&mut crashed, &[PART]), PartVerdict::Refused);
    restarted.on_parts_sound(&[PART], 1_000);
    assert_eq!(judge(&mut restarted, &[PART]), PartVerdict::Clear);
}

#[test]
fn a_part_whose_cause_was_established_stays_refused_after_a_restart() {
    let mut entry = Entry::default();
    for upstream in 0..3 {
        entry.crash_parts(upstream, &[PART], 0);
    }
    assert_eq!(entry.write(7, 0)[0].kind, SuspectKind::Part);
    let settled_ms = 6_000;
    let verdict = entry.tracker.judge_parts(&[PART], || REQUEST, settled_ms);
    assert_eq!(verdict, PartVerdict::Refused);
    let recorded = entry.write(8, settled_ms);
    assert_eq!(recorded[0].kind, SuspectKind::RefusedPart);
    let mut restarted = CrashTracker::new();
    restarted.restore(&recorded, moment(7_000));
    assert_eq!(restarted.judge_parts(&[PART], || REQUEST, 7_000), PartVerdict::Refused);
}

#[test]
fn a_write_is_repeated_later_and_later_and_after_a_conflict_at_once() {
    let mut entry = Entry::default();
    entry.crash(1, 0);
    let mut now_ms = 0;
    let mut delays_ms = Vec::new();
    for _ in 0..7 {
        let write = entry.next_call(now_ms).unwrap();
        entry.record.on_outcome(&write, RecordOutcome::Unknown, now_ms);
        assert_eq!(entry.next_call(now_ms), None);
        let delay_ms = entry.record.next_check_ms(now_ms).unwrap();
        delays_ms.push(delay_ms);
        now_ms += delay_ms;
    }
    assert_eq!(delays_ms, [250, 500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    // One of them has taken effect after all.
    let write = entry.next_call(now_ms).unwrap();
    assert!(matches!(write, RecordCall::Create(_)));
    entry.record.on_outcome(&write, RecordOutcome::Conflict(Some(12)), now_ms);
    let write = entry.next_call(now_ms);
    assert!(matches!(write, Some(RecordCall::Replace { revision: 12, .. })), "{write:?}");
    entry.record.on_outcome(&write.unwrap(), RecordOutcome::Done(Some(13)), now_ms);
    assert_eq!(entry.next_call(now_ms + WRITE_INTERVAL_MS), None);
}

#[test]
fn a_record_holds_the_suspects_with_most_crashes() {
    let mut entry = Entry::default();
    for number in 0..2 * MAX_SUSPECTS as u64 {
        let fingerprint = Digest::of(&number.to_be_bytes());
        let crashes = if number % 2 == 0 { 2 } else { 1 };
        for crash in 0..crashes {
            let upstream = Incarnation(2 * number + crash);
            entry.tracker.on_crash(upstream, fingerprint, RequestHash(number), 0);
            entry.record.observe(fingerprint, SuspectKind::Request, upstream, true, UNIX_MS);
        }
    }
    let recorded = entry.write(7, 0);
    assert_eq!(recorded.len(), MAX_SUSPECTS);
    assert!(recorded.iter().all(|it| it.crashes.len() == 2));
    assert_eq!(entry.next_call(WRITE_INTERVAL_MS), None);
}

/// A restore of the platform must not make hundreds of entries read at once.
#[test]
fn only_an_entry_that_has_had_a_record_reads_it_after_a_restore_of_the_platform() {
    let mut entry = Entry::default();
    entry.record.on_platform_restored();
    assert_eq!((entry.next_call(0), entry.record.next_check_ms(0)), (None, None));
    entry.crash(1, 0);
    entry.write(7, 0);
    entry.record.on_platform_restored();
    let read = RecordCall::Read;
    assert_eq!(entry.next_call(WRITE_INTERVAL_MS), Some(read.clone()));
    entry.record.on_outcome(&read, RecordOutcome::Conflict(None), WRITE_INTERVAL_MS);
    let create = entry.next_call(WRITE_INTERVAL_MS);
    assert!(matches!(create, Some(RecordCall::Create(_))), "{create:?}");
}
