//! The scenario checks detect each kind of violation.

use yuccatrail_fakes::{
    load::{
        call::{CallOutcome, Observation},
        plan::{CallKind, PlannedCall},
        tally::{Deadlines, Tally},
    },
    scenarios::{check::violations, drive::DriverReport, observe::Totals},
};

const DEADLINES: Deadlines = Deadlines { pipeline_ms: 2_000, service_ms: 1_000 };

fn observation(outcome: CallOutcome, latency_us: u64) -> Observation {
    let call = PlannedCall {
        number: 0,
        at_us: 0,
        kind: CallKind::ServiceRead,
        customer: "lone-star".to_owned(),
    };
    Observation {
        call,
        outcome,
        request_id: Some("request-1".to_owned()),
        latency_us,
        first_token_us: None,
        token_gaps_us: Vec::new(),
    }
}

fn refused(outcome: &str) -> CallOutcome {
    CallOutcome::Refused { reason: "busy".to_owned(), outcome: outcome.to_owned() }
}

fn tally_of(verdict: CallOutcome) -> Tally {
    let mut tally = Tally::new(DEADLINES);
    tally.add(observation(verdict, 10));
    tally
}

#[test]
fn no_violation_is_reported_for_a_correct_run() {
    let mut totals = Totals::default();
    totals.runs_by_key.insert("key-1".to_owned(), 1);
    totals.runs_by_request.insert("request-2".to_owned(), 2);
    let tally = tally_of(refused("not_run"));
    assert!(violations(&tally, &totals, &DriverReport::default()).is_empty());
}

#[test]
fn a_call_that_ran_twice_is_reported() {
    let mut totals = Totals::default();
    totals.runs_by_key.insert("key-1".to_owned(), 2);
    let found = violations(&tally_of(CallOutcome::Correct), &totals, &DriverReport::default());
    assert!(found.iter().any(|it| it.contains("key-1")));
}

#[test]
fn a_request_refused_with_not_run_that_ran_is_reported() {
    let mut totals = Totals::default();
    totals.runs_by_request.insert("request-1".to_owned(), 1);
    let found = violations(&tally_of(refused("not_run")), &totals, &DriverReport::default());
    assert!(found.iter().any(|it| it.contains("request-1")));
    assert!(
        violations(&tally_of(refused("unknown")), &totals, &DriverReport::default()).is_empty()
    );
}

#[test]
fn wrong_and_broken_responses_are_reported() {
    for verdict in [CallOutcome::Wrong("text".to_owned()), CallOutcome::Broken("cut".to_owned())] {
        let found = violations(&tally_of(verdict), &Totals::default(), &DriverReport::default());
        assert!(!found.is_empty());
    }
}

#[test]
fn overloads_and_calls_in_a_data_centre_that_is_out_are_reported() {
    let totals = Totals { overloads: 1, ..Totals::default() };
    assert_eq!(
        violations(&tally_of(CallOutcome::Correct), &totals, &DriverReport::default()).len(),
        1
    );
    let driven = DriverReport { calls_while_out: 1, ..DriverReport::default() };
    assert_eq!(violations(&tally_of(CallOutcome::Correct), &Totals::default(), &driven).len(), 1);
}

#[test]
fn a_correct_response_after_the_deadline_counts_as_late() {
    let mut tally = Tally::new(DEADLINES);
    tally.add(observation(CallOutcome::Correct, 999_999));
    tally.add(observation(CallOutcome::Correct, 1_000_001));
    assert_eq!((tally.on_time, tally.late), (1, 1));
    assert!((tally.attainment() - 0.5).abs() < 1e-9);
}
