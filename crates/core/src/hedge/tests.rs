use super::*;

const QUERY: HedgeQuery = HedgeQuery {
    idempotent: true,
    hedged: false,
    sent_ms: 0,
    expected_ms: 100,
    finish_by_ms: 1_000,
    other_has_capacity: true,
};

fn latency() -> RecentLatency {
    let mut latency = RecentLatency::new();
    for number in 1..=100 {
        latency.on_complete(100 + number, 100);
    }
    latency
}

#[test]
fn attempt_is_hedged_after_the_p95_latency_until_the_budget_is_exhausted() {
    let mut budget = RetryBudget::new(20, 1);
    let latency = latency();
    assert_eq!(decide(0, &QUERY, &latency, &mut budget), HedgeDecision::WaitUntil(196));
    assert_eq!(decide(196, &QUERY, &latency, &mut budget), HedgeDecision::Hedge);
    let exhausted = HedgeDecision::No(NoHedge::Budget);
    assert_eq!(decide(196, &QUERY, &latency, &mut budget), exhausted);
}

#[test]
fn ineligible_attempt_is_not_hedged_and_the_budget_is_not_charged() {
    let cases = [
        (HedgeQuery { idempotent: false, ..QUERY }, NoHedge::NotIdempotent),
        (HedgeQuery { hedged: true, ..QUERY }, NoHedge::AlreadyHedged),
        (HedgeQuery { finish_by_ms: 250, ..QUERY }, NoHedge::TooLate),
        (HedgeQuery { other_has_capacity: false, ..QUERY }, NoHedge::NoRoom),
    ];
    for (query, reason) in cases {
        let mut budget = RetryBudget::new(20, 1);
        assert_eq!(decide(300, &query, &latency(), &mut budget), HedgeDecision::No(reason));
        assert!(budget.try_retry());
    }
}

#[test]
fn granted_retries_are_the_configured_fraction_of_completed_stages() {
    let mut budget = RetryBudget::new(20, 1);
    assert!(budget.try_retry());
    let mut granted = 0;
    for _ in 0..1_000 {
        budget.on_completed(true);
        granted += u32::from(budget.try_retry());
    }
    assert_eq!(granted, 200);
}
