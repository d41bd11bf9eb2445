use super::*;
use crate::outcome::Usage;

const DECLARED: DeclaredEstimate = DeclaredEstimate { estimate_ms: 100, token_estimate_ms: 10 };

#[test]
fn requested_deadline_shortens_the_declared_one_but_never_extends_it() {
    assert_eq!(effective_deadline_ms(50, 1_000, None), 1_050);
    assert_eq!(effective_deadline_ms(50, 1_000, Some(400)), 450);
    assert_eq!(effective_deadline_ms(50, 1_000, Some(9_000)), 1_050);
}

#[test]
fn plan_reserves_the_expected_time_of_later_stages() {
    let plan = Plan::new(0, 1_000, &[100, 300]);
    assert_eq!(plan.stages[0].start_by_ms, 600);
    assert_eq!(plan.stages[0].finish_by_ms, 700);
    assert_eq!(plan.stages[1].start_by_ms, 700);
    assert_eq!(plan.stages[1].finish_by_ms, 1_000);
    assert_eq!(plan.stages[0].budget_ms + plan.stages[1].budget_ms, 1_000);
    assert!(plan.fits(600, 0));
    assert!(!plan.fits(601, 0));
    assert!(plan.fits(700, 1));
}

#[test]
fn estimates_start_at_the_declared_values_and_follow_completed_calls() {
    let mut estimates = StageEstimates::new();
    let pool = estimates.register_pool("generate", DECLARED);
    assert_eq!(estimates.expected_ms(pool, 40), 500);

    let usage = Usage { engine_ms: 600, queued_ms: 30, tokens: 20 };
    for _ in 0..400 {
        estimates.on_complete(pool, 40, usage);
    }
    assert!(estimates.expected_ms(pool, 40).abs_diff(600) <= 5);
    assert!(estimates.conservative_ms(pool, 40) >= estimates.expected_ms(pool, 40));
    assert!(estimates.mean_queued_ms(pool).abs_diff(30) <= 1);
    assert_eq!(estimates.register_pool("generate", DECLARED), pool);
}

#[test]
fn estimates_without_new_samples_decay_to_the_declared_values() {
    let mut estimates = StageEstimates::new();
    let pool = estimates.register_pool("generate", DECLARED);
    for _ in 0..400 {
        estimates.on_complete(pool, 40, Usage { engine_ms: 60_000, queued_ms: 0, tokens: 40 });
    }
    estimates.decay_stale();
    assert!(estimates.expected_ms(pool, 40) > 50_000);
    for _ in 0..100 {
        estimates.decay_stale();
    }
    assert!(estimates.expected_ms(pool, 40).abs_diff(500) <= 10);
}
