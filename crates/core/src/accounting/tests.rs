use super::*;

#[test]
fn cost_adds_up_by_stage() {
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
fn attainment_counts_refusals_apart() {
    let mut ledger = CostLedger::new();
    let label = RequestLabel { pipeline: "report".into(), customer: "a".into() };
    let ends = [
        RequestOutcome::OnTime,
        RequestOutcome::OnTime,
        RequestOutcome::OnTime,
        RequestOutcome::Late,
        RequestOutcome::Refused(Reason::DeadlineUnreachable),
    ];
    for end in ends {
        ledger.on_request(&label, end);
    }
    let (_, attainment) = ledger.requests()[0];
    assert_eq!(attainment.accepted(), 4);
    assert_eq!(attainment.on_time_fraction(), 0.75);
    assert_eq!(attainment.refused[&Reason::DeadlineUnreachable], 1);
}
