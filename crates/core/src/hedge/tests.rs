use super::*;

const QUERY: HedgeQuery = HedgeQuery {
    idempotent: true,
    hedged: false,
    sent_ms: 0,
    expected_ms: 100,
    finish_by_ms: 1_000,
    other_has_room: true,
};

fn latency() -> RecentLatency {
    let mut latency = RecentLatency::new();
    for number in 1..=100 {
        latency.on_complete(100 + number, 100);
    }
    latency
}

#[test]
fn hedges_after_the_p95_and_charges_the_budget() {
    let mut budget = RetryBudget::new(20, 1);
    let latency = latency();
    assert_eq!(decide(0, &QUERY, &latency, &mut budget), HedgeDecision::WaitUntil(196));
    assert_eq!(decide(196, &QUERY, &latency, &mut budget), HedgeDecision::Hedge);
    let spent = HedgeDecision::No(NoHedge::Budget);
    assert_eq!(decide(196, &QUERY, &latency, &mut budget), spent);
}

#[test]
fn refuses_what_may_not_or_need_not_be_repeated() {
    let cases = [
        (HedgeQuery { idempotent: false, ..QUERY }, NoHedge::NotIdempotent),
        (HedgeQuery { hedged: true, ..QUERY }, NoHedge::AlreadyHedged),
        (HedgeQuery { finish_by_ms: 250, ..QUERY }, NoHedge::TooLate),
        (HedgeQuery { other_has_room: false, ..QUERY }, NoHedge::NoRoom),
    ];
    for (query, reason) in cases {
        let mut budget = RetryBudget::new(20, 1);
        assert_eq!(decide(300, &query, &latency(), &mut budget), HedgeDecision::No(reason));
        assert!(budget.try_retry());
    }
}

#[test]
fn budget_is_a_fraction_of_completions() {
    let mut budget = RetryBudget::new(20, 1);
    assert!(budget.try_retry());
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.on_completed(true);
        spent += u32::from(budget.try_retry());
    }
    assert_eq!(spent, 200);
}
