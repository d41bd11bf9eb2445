use super::*;

#[test]
fn attempts_of_one_stage_add_up_and_wasted_time_is_counted_apart() {
    let mut ledger = CostLedger::new();
    let label =
        StageLabel { pipeline: "report".into(), customer: "a".into(), stage: StageIndex(2) };
    let usage = Usage { engine_ms: 30, queued_ms: 5, tokens: 7 };
    ledger.on_attempt(&label, usage, WorkOutcome::Used);
    ledger.on_attempt(&label, usage, WorkOutcome::Wasted);

    let expected =
        StageCost { attempts: 2, engine_ms: 60, tokens: 14, queued_ms: 10, wasted_ms: 30 };
    assert_eq!(ledger.stages(), [(&label, &expected)]);
}

#[test]
fn refused_requests_do_not_count_as_accepted() {
    let mut ledger = CostLedger::new();
    let label = RequestLabel { pipeline: "report".into(), customer: "a".into() };
    let outcomes = [
        RequestOutcome::OnTime,
        RequestOutcome::OnTime,
        RequestOutcome::OnTime,
        RequestOutcome::Late,
        RequestOutcome::Refused(Reason::DeadlineUnreachable),
    ];
    for outcome in outcomes {
        ledger.on_request(&label, outcome);
    }
    let (_, attainment) = ledger.requests()[0];
    assert_eq!(attainment.accepted(), 4);
    assert_eq!(attainment.on_time_fraction(), 0.75);
    assert_eq!(attainment.refused[&Reason::DeadlineUnreachable], 1);
}
