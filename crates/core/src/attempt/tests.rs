//! Unit tests of the attempt module.

use bytes::Bytes;

use super::*;
use crate::{
    ids::{AttemptId, Incarnation, RequestId, StageIndex},
    outcome::{Reason, Refusal, Usage},
};

const AGENT: Incarnation = Incarnation(7);
const LIMITS: LedgerLimits = LedgerLimits {
    retention_ms: 100,
    dispatch_window_ms: 50,
    max_records: 3,
    max_ended_output_bytes: 8,
};

fn attempt(number: u16) -> AttemptId {
    AttemptId { request: RequestId(1), stage: StageIndex(0), number, entry: Incarnation(2) }
}

fn page(first_sequence: u64, chunks: &[&'static str], progress: Progress) -> OutputPage {
    let chunks = chunks.iter().map(|it| Bytes::from_static(it.as_bytes())).collect();
    OutputPage { first_sequence, chunks, progress }
}

fn completed(chunk_count: u64) -> Progress {
    Progress::Completed(Completion {
        status: 200,
        content_type: None,
        chunk_count,
        usage: Usage::default(),
    })
}

fn released(chunks: &[&'static str]) -> PageResult {
    PageResult::Released(chunks.iter().map(|it| Bytes::from_static(it.as_bytes())).collect())
}

fn queued(result: SubmitResult) -> AttemptKey {
    let SubmitResult::Queued(key) = result else { panic!("not queued: {result:?}") };
    key
}

fn not_run(reason: Reason) -> Refusal {
    Refusal::not_run(reason, 0)
}

fn end(ledger: &mut AttemptLedger, key: AttemptKey, now_ms: u64) {
    assert!(ledger.complete(key, 200, None, Usage::default(), now_ms));
}

#[test]
fn overlapping_pages_release_each_chunk_once() {
    let mut output = OutputAssembler::new(attempt(0), AGENT);
    assert_eq!(
        output.receive_page(attempt(0), AGENT, page(2, &["c"], completed(4))),
        released(&[])
    );
    assert_eq!(output.next_sequence(), 0);
    let overlap = page(0, &["a", "b", "c"], Progress::Running);
    assert_eq!(output.receive_page(attempt(0), AGENT, overlap.clone()), released(&["a", "b", "c"]));
    assert_eq!(output.receive_page(attempt(0), AGENT, overlap), released(&[]));
    assert_eq!(output.completed(), None);
    assert_eq!(
        output.receive_page(attempt(0), AGENT, page(3, &["d"], Progress::Running)),
        released(&["d"])
    );
    assert_eq!(output.completed().map(|it| it.chunk_count), Some(4));
}

#[test]
fn pages_of_another_attempt_or_agent_incarnation_are_dropped() {
    let mut output = OutputAssembler::new(attempt(0), AGENT);
    let other = page(0, &["x"], completed(1));
    assert_eq!(output.receive_page(attempt(1), AGENT, other.clone()), PageResult::Mismatched);
    assert_eq!(output.receive_page(attempt(0), Incarnation(8), other), PageResult::Mismatched);
    assert_eq!(output.mismatched_pages(), 2);
    assert_eq!(output.completed(), None);
}

#[test]
fn page_that_contradicts_the_output_length_is_rejected() {
    let mut output = OutputAssembler::new(attempt(0), AGENT);
    output.receive_page(attempt(0), AGENT, page(0, &["a", "b"], Progress::Running));
    for wrong in [page(0, &[], completed(1)), page(u64::MAX, &["x"], Progress::Running)] {
        assert_eq!(output.receive_page(attempt(0), AGENT, wrong), PageResult::Contradictory);
    }
    assert_eq!(output.receive_page(attempt(0), AGENT, page(2, &[], completed(2))), released(&[]));
    let longer = page(2, &["c"], Progress::Running);
    assert_eq!(output.receive_page(attempt(0), AGENT, longer), PageResult::Contradictory);
    assert_eq!(output.contradictory_pages(), 3);
}

#[test]
fn completed_output_without_chunks_is_complete() {
    let mut output = OutputAssembler::new(attempt(0), AGENT);
    output.receive_page(attempt(0), AGENT, page(0, &[], completed(0)));
    assert!(output.completed().is_some());
}

#[test]
fn duplicate_submit_returns_the_same_record_and_is_dispatched_once() {
    let mut ledger = AttemptLedger::new(LIMITS);
    let key = queued(ledger.submit(attempt(0), 40, 0));
    assert_eq!(ledger.submit(attempt(0), 40, 1), SubmitResult::Duplicate(key));
    assert_eq!(ledger.begin_dispatch(key, 2), DispatchCheck::Dispatch);
    assert_eq!(ledger.begin_dispatch(key, 3), DispatchCheck::AlreadyDispatched);
    assert_eq!(ledger.cancel(attempt(0), 40, 4), CancelResult::Running(key));
}

#[test]
fn cancel_before_its_submit_leaves_a_tombstone_that_refuses_the_submit() {
    let mut ledger = AttemptLedger::new(LIMITS);
    let cancelled = not_run(Reason::Cancelled);
    assert_eq!(ledger.cancel(attempt(0), 40, 0), CancelResult::NotRun(cancelled));
    assert_eq!(ledger.submit(attempt(0), 40, 1), SubmitResult::NotRun(cancelled));
    assert_eq!(ledger.read(attempt(0), 0, 1), AttemptLookup::NotRun(cancelled));
}

#[test]
fn attempt_past_its_dispatch_limit_is_refused_at_submit_and_at_dispatch() {
    let mut ledger = AttemptLedger::new(LIMITS);
    let expired = not_run(Reason::DispatchExpired);
    assert_eq!(ledger.submit(attempt(0), 10, 11), SubmitResult::NotRun(expired));
    let key = queued(ledger.submit(attempt(1), 20, 11));
    assert_eq!(ledger.begin_dispatch(key, 21), DispatchCheck::NotRun(expired));
    assert_eq!(ledger.submit(attempt(1), 20, 12), SubmitResult::NotRun(expired));
    assert_eq!(ledger.submit(attempt(2), 72, 21), SubmitResult::Unknown);
}

#[test]
fn evicted_attempt_is_reported_as_unknown() {
    let mut ledger = AttemptLedger::new(LIMITS);
    let key = queued(ledger.submit(attempt(0), 40, 0));
    assert_eq!(ledger.begin_dispatch(key, 1), DispatchCheck::Dispatch);
    end(&mut ledger, key, 2);
    ledger.evict(140);
    assert_eq!(ledger.len(), 1);
    ledger.evict(141);
    assert!(ledger.is_empty());
    assert_eq!(ledger.read(attempt(0), 0, 1), AttemptLookup::Unknown);
    assert_eq!(ledger.submit(attempt(0), 40, 141), SubmitResult::Unknown);
    assert_eq!(ledger.cancel(attempt(0), 40, 141), CancelResult::Unknown);
}

#[test]
fn full_ledger_answers_new_attempts_with_unknown() {
    let mut ledger = AttemptLedger::new(LIMITS);
    for number in 0..3 {
        queued(ledger.submit(attempt(number), 40, 0));
    }
    assert_eq!(ledger.submit(attempt(3), 40, 0), SubmitResult::Unknown);
    assert_eq!(ledger.cancel(attempt(3), 40, 0), CancelResult::Unknown);
}

#[test]
fn output_is_read_in_pages_and_the_oldest_is_discarded_above_the_size_limit() {
    let mut ledger = AttemptLedger::new(LIMITS);
    for number in 0..2 {
        let key = queued(ledger.submit(attempt(number), 40, 0));
        ledger.begin_dispatch(key, 0);
        assert!(ledger.push_chunk(key, Bytes::from_static(b"abc")));
        assert!(ledger.push_chunk(key, Bytes::from_static(b"de")));
        end(&mut ledger, key, 1);
        assert!(!ledger.push_chunk(key, Bytes::from_static(b"f")));
    }
    assert_eq!(ledger.read(attempt(0), 0, 9), AttemptLookup::Unknown);
    let first = page(0, &["abc"], Progress::Running);
    assert_eq!(ledger.read(attempt(1), 0, 1), AttemptLookup::Accepted(first));
    let last = page(1, &["de"], completed(2));
    assert_eq!(ledger.read(attempt(1), 1, 9), AttemptLookup::Accepted(last));
}

#[test]
fn only_the_first_completion_of_a_stage_earns_retry_credit() {
    let mut budget = RetryBudget::new(20, 2);
    assert!(budget.try_retry());
    assert!(budget.try_retry());
    assert!(!budget.try_retry());
    for _ in 0..5 {
        budget.on_completed(false);
    }
    assert!(!budget.try_retry());
    for _ in 0..5 {
        budget.on_completed(true);
    }
    assert!(budget.try_retry());
    assert!(!budget.try_retry());
}
