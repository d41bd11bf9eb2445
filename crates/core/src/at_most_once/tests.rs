//! Unit tests of the at-most-once module.

use bytes::Bytes;

use super::*;
use crate::{
    ids::{Digest, Incarnation},
    outcome::{Execution, Reason, Refusal},
};

const DISPATCH_BY_MS: u64 = 100;
const DEADLINE_MS: u64 = 200;
const RETRY_AFTER_MS: u64 = 1000;

fn request(token: u128) -> ClaimRequest {
    ClaimRequest {
        name: claim_name("customer", "fees", "key"),
        token: ClaimToken(token),
        claimant: Incarnation(3),
        fingerprint: Digest::of(b"body"),
        only_copy: false,
        dispatch_by_ms: DISPATCH_BY_MS,
        deadline_ms: DEADLINE_MS,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn record(token: u128, state: ClaimState) -> ClaimRecord {
    ClaimRecord {
        token: ClaimToken(token),
        claimant: Incarnation(3),
        fingerprint: Digest::of(b"body"),
        epoch: 1,
        state,
    }
}

fn response(body: &'static [u8]) -> CallResponse {
    CallResponse {
        status: 200,
        content_type: None,
        body: RecordedBody::Whole(Bytes::from_static(body)),
    }
}

fn create(token: u128, state: ClaimState) -> Vec<ClaimAction> {
    vec![ClaimAction::CreateClaim { name: request(1).name, record: record(token, state) }]
}

fn update(record: ClaimRecord, expected_version: u64) -> ClaimAction {
    ClaimAction::UpdateClaim { name: request(1).name, record, expected_version }
}

fn read() -> Vec<ClaimAction> {
    vec![ClaimAction::ReadClaim { name: request(1).name }]
}

fn refused(reason: Reason, execution: Execution) -> ClaimAction {
    let refusal = Refusal { reason, execution, retry_after_ms: RETRY_AFTER_MS };
    ClaimAction::Reply(ClaimReply::Refused(refusal))
}

fn started(request: ClaimRequest) -> ClaimFlow {
    let mut flow = ClaimFlow::new(request);
    assert_eq!(flow.handle(ClaimEvent::Start, 0), create(1, ClaimState::Claimed));
    flow
}

fn permission(mut actions: Vec<ClaimAction>) -> DispatchPermission {
    assert_eq!(actions.len(), 1);
    match actions.remove(0) {
        ClaimAction::Dispatch(permission) => permission,
        action => panic!("not a dispatch: {action:?}"),
    }
}

fn not_run(number: u16, try_again: bool) -> ClaimEvent {
    let result =
        DispatchResult::NotRun { reason: Reason::Busy, retry_after_ms: RETRY_AFTER_MS, try_again };
    ClaimEvent::Dispatch { number, result }
}

#[test]
fn claimed_call_is_dispatched_and_its_response_recorded() {
    let mut flow = started(request(1));
    let permission = permission(flow.handle(ClaimEvent::Written { version: 1 }, 1));
    assert_eq!(permission.redeem(DISPATCH_BY_MS), Some(DISPATCH_BY_MS));
    let result = DispatchResult::Completed(response(b"ok"));
    let done = record(1, ClaimState::Done(response(b"ok")));
    assert_eq!(
        flow.handle(ClaimEvent::Dispatch { number: 1, result }, 5),
        vec![ClaimAction::Reply(ClaimReply::Response(response(b"ok"))), update(done, 1)],
    );
    flow.handle(ClaimEvent::Written { version: 2 }, 6);
    assert!(flow.is_finished());
    assert_eq!(flow.next_tick_ms(), None);
}

#[test]
fn write_with_a_lost_response_is_confirmed_by_the_token_read_back() {
    let mut flow = started(request(1));
    assert_eq!(flow.handle(ClaimEvent::WriteLost, 1), read());
    let found = ClaimEvent::Found { record: record(1, ClaimState::Claimed), version: 4 };
    assert_eq!(permission(flow.handle(found, 2)).number(), 1);

    let mut flow = started(request(1));
    flow.handle(ClaimEvent::WriteLost, 1);
    let found = ClaimEvent::Found { record: record(2, ClaimState::Claimed), version: 4 };
    let expected = vec![refused(Reason::KeyClaimed, Execution::Unknown)];
    assert_eq!(flow.handle(found, 2), expected);
    assert!(flow.is_finished());
}

#[test]
fn finished_claim_of_another_request_returns_its_outcome() {
    let reason = Reason::UpstreamError;
    let cases = [
        (
            ClaimState::Done(response(b"a")),
            ClaimAction::Reply(ClaimReply::Response(response(b"a"))),
        ),
        (ClaimState::Failed { reason }, refused(reason, Execution::Failed)),
        (ClaimState::Unknown { reason }, refused(reason, Execution::Unknown)),
    ];
    for (state, reply) in cases {
        let mut flow = started(request(1));
        let exists = ClaimEvent::Exists { record: record(2, state), version: 9 };
        assert_eq!(flow.handle(exists, 1), vec![reply]);
    }
}

#[test]
fn released_claim_is_taken_over_in_a_new_epoch() {
    let mut flow = started(request(1));
    let exists = ClaimEvent::Exists { record: record(2, ClaimState::NotRun), version: 9 };
    let taken = ClaimRecord { epoch: 2, ..record(1, ClaimState::Claimed) };
    assert_eq!(flow.handle(exists, 1), vec![update(taken, 9)]);
    permission(flow.handle(ClaimEvent::Written { version: 10 }, 2));
}

#[test]
fn claim_deleted_after_it_was_seen_is_not_created_again() {
    let mut flow = started(request(1));
    let exists = ClaimEvent::Exists { record: record(2, ClaimState::NotRun), version: 9 };
    flow.handle(exists, 1);
    assert_eq!(flow.handle(ClaimEvent::WriteLost, 2), read());
    let expected = vec![refused(Reason::KeyClaimed, Execution::Unknown)];
    assert_eq!(flow.handle(ClaimEvent::Absent, 3), expected);
}

#[test]
fn key_of_a_different_call_is_refused_as_reused() {
    let mut flow = started(request(1));
    let other = ClaimRecord { fingerprint: Digest::of(b"x"), ..record(2, ClaimState::NotRun) };
    let exists = ClaimEvent::Exists { record: other, version: 1 };
    assert_eq!(flow.handle(exists, 1), vec![ClaimAction::Reply(ClaimReply::KeyReused)]);
}

#[test]
fn unreachable_platform_refuses_immediately_as_not_run_only_for_the_only_copy() {
    for (only_copy, execution) in [(true, Execution::NotRun), (false, Execution::Unknown)] {
        let mut flow = started(ClaimRequest { only_copy, ..request(1) });
        let actions = flow.handle(ClaimEvent::WriteUnavailable, 1);
        assert_eq!(actions, vec![refused(Reason::PlatformUnavailable, execution)]);
        assert!(flow.is_finished());
    }
}

#[test]
fn confirmed_not_run_is_retried_until_the_dispatch_limit_and_then_releases_the_claim() {
    let mut flow = started(request(1));
    permission(flow.handle(ClaimEvent::Written { version: 1 }, 1));
    assert_eq!(permission(flow.handle(not_run(1, true), 2)).number(), 2);
    assert_eq!(flow.handle(not_run(1, false), 3), Vec::new());
    let released = update(record(1, ClaimState::NotRun), 1);
    let expected = vec![refused(Reason::Busy, Execution::NotRun), released];
    assert_eq!(flow.handle(not_run(2, true), DISPATCH_BY_MS + 1), expected);
}

#[test]
fn expired_permission_is_not_redeemed() {
    let mut flow = started(request(1));
    let permission = permission(flow.handle(ClaimEvent::Written { version: 1 }, 1));
    assert_eq!(permission.redeem(DISPATCH_BY_MS + 1), None);

    let mut flow = started(request(1));
    let actions = flow.handle(ClaimEvent::Written { version: 1 }, DISPATCH_BY_MS + 1);
    let released = update(record(1, ClaimState::NotRun), 1);
    assert_eq!(actions, vec![refused(Reason::DispatchExpired, Execution::NotRun), released]);
}

#[test]
fn absent_claim_is_created_as_not_run_after_an_unconfirmed_write_was_refused() {
    let mut flow = started(request(1));
    flow.handle(ClaimEvent::WriteLost, 1);
    assert_eq!(flow.handle(ClaimEvent::ReadUnavailable, 2), Vec::new());
    let late_ms = DISPATCH_BY_MS + 1;
    let mut expected = vec![refused(Reason::PlatformUnavailable, Execution::Unknown)];
    expected.extend(read());
    assert_eq!(flow.handle(ClaimEvent::Tick, late_ms), expected);
    assert_eq!(flow.handle(ClaimEvent::Absent, late_ms), create(1, ClaimState::NotRun));
    flow.handle(ClaimEvent::Written { version: 1 }, late_ms);
    assert!(flow.is_finished());
}

#[test]
fn deadline_during_dispatch_refuses_as_unknown_and_a_late_result_is_still_recorded() {
    let mut flow = started(request(1));
    permission(flow.handle(ClaimEvent::Written { version: 1 }, 1));
    assert_eq!(flow.next_tick_ms(), Some(DEADLINE_MS));
    let expected = vec![refused(Reason::DeadlineExpired, Execution::Unknown)];
    assert_eq!(flow.handle(ClaimEvent::Tick, DEADLINE_MS), expected);
    let released = update(record(1, ClaimState::NotRun), 1);
    assert_eq!(flow.handle(not_run(1, false), DEADLINE_MS + 1), vec![released]);
}

#[test]
fn claim_names_differ_when_their_parts_differ() {
    assert_eq!(claim_name("a", "b", "c"), claim_name("a", "b", "c"));
    assert_ne!(claim_name("ab", "", "c"), claim_name("a", "b", "c"));
    assert_ne!(claim_name("a", "b", "c"), claim_name("a", "b", "d"));
}

#[test]
fn records_round_trip_through_json() {
    let large = Bytes::from(vec![0; record::MAX_RECORDED_BODY_BYTES + 1]);
    let large = CallResponse { body: RecordedBody::Whole(large), ..response(b"") };
    for response in [response(b"text \xc3\xb1"), response(b"\xff\x00"), large.recorded()] {
        let record = record(u128::MAX, ClaimState::Done(response));
        let json = serde_json::to_string(&record).unwrap();
        assert!(json.contains("ffffffffffffffffffffffffffffffff"));
        assert_eq!(serde_json::from_str::<ClaimRecord>(&json).unwrap(), record);
    }
}

#[test]
fn largest_record_stays_below_one_megabyte_of_json() {
    let body = Bytes::from(vec![0; record::MAX_RECORDED_BODY_BYTES]);
    let response = CallResponse { body: RecordedBody::Whole(body), ..response(b"") };
    let record = record(1, ClaimState::Done(response.recorded()));
    assert!(serde_json::to_string(&record).unwrap().len() < 1_000_000);
}
