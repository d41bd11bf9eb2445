//! Property tests of admission control, run-time estimates and the retry budget.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use yuccatrail_core::{
    admission::{Admission, StageWork},
    attempt::RetryBudget,
    deadline::{DeclaredEstimate, StageEstimates, effective_deadline_ms},
    outcome::{Execution, Reason, Usage},
    routing::PoolLoad,
};

const SEED: u64 = 7_004;

/// Range of the retry delay that a refusal may carry, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=60_000;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn usage() -> impl Strategy<Value = Usage> {
    (0..100_000_u64, 0..10_000_u64, 0..400_u64).prop_map(|(engine_ms, queued_ms, tokens)| Usage {
        engine_ms,
        queued_ms,
        tokens,
    })
}

fn pool_load() -> impl Strategy<Value = PoolLoad> {
    (0..4_u32, 0..200_u32, 0..64_u32).prop_map(|(upstreams, outstanding, limit)| PoolLoad {
        upstreams,
        outstanding,
        own: outstanding / 3,
        limit,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn admitted_requests_fit_their_deadline_and_refused_ones_are_reported_as_not_run(
        usages in prop::collection::vec(usage(), 0..30),
        requests in prop::collection::vec((pool_load(), pool_load(), 0..5_000_u64, 0..3_usize), 1..60),
    ) {
        let mut estimates = StageEstimates::new();
        let seed = DeclaredEstimate { estimate_ms: 40, token_estimate_ms: 5 };
        let first = estimates.register_pool("retrieve", seed);
        let second = estimates.register_pool("generate", seed);
        for usage in usages {
            estimates.on_complete(second, 200, usage);
        }

        let mut admission = Admission::new();
        let customers = ["a", "b", "c"].map(|it| admission.register_customer(it, 1));
        let mut keys = Vec::new();
        for (first_load, second_load, allowed_ms, customer) in requests {
            let stages = [
                StageWork { pool: first, max_tokens: 0, load: first_load },
                StageWork { pool: second, max_tokens: 200, load: second_load },
            ];
            let run_ms = estimates.expected_ms(first, 0) + estimates.expected_ms(second, 200);
            let customer = customers[customer];
            let result = admission.admit(0, &estimates, customer, allowed_ms, &stages);
            match result {
                Ok(admitted) => {
                    prop_assert!(run_ms <= allowed_ms);
                    prop_assert!(admitted.plan.fits(0, 0));
                    prop_assert!(admitted.plan.stages[0].finish_by_ms <= allowed_ms);
                    prop_assert_eq!(admitted.plan.stages[1].finish_by_ms, allowed_ms);
                    keys.push(admitted.key);
                }
                Err(refusal) => {
                    prop_assert_eq!(refusal.execution, Execution::NotRun);
                    prop_assert!(RETRY_AFTER_MS.contains(&refusal.retry_after_ms));
                    let has_upstreams = first_load.upstreams > 0 && second_load.upstreams > 0;
                    prop_assert_eq!(refusal.reason == Reason::NoUpstream, !has_upstreams);
                }
            }
            prop_assert_eq!(admission.in_progress(), keys.len());
        }

        // Once all requests have finished, idle pools admit any request that fits its deadline.
        for key in keys {
            admission.on_stage_sent(key);
            admission.finish(key);
        }
        let idle = PoolLoad { upstreams: 1, outstanding: 0, own: 0, limit: 1 };
        let stages = [
            StageWork { pool: first, max_tokens: 0, load: idle },
            StageWork { pool: second, max_tokens: 200, load: idle },
        ];
        let allowed_ms = estimates.expected_ms(first, 0) + estimates.expected_ms(second, 200) + 8;
        let admitted = admission.admit(0, &estimates, customers[0], allowed_ms, &stages);
        prop_assert!(admitted.is_ok());
    }

    #[test]
    fn estimates_stay_between_1_ms_and_the_longest_observation(usages in prop::collection::vec(usage(), 1..300)) {
        let mut estimates = StageEstimates::new();
        let seed = DeclaredEstimate { estimate_ms: 50, token_estimate_ms: 0 };
        let pool = estimates.register_pool("rerank", seed);
        let mut max_ms = seed.estimate_ms;
        for usage in usages {
            max_ms = max_ms.max(usage.engine_ms);
            estimates.on_complete(pool, 0, usage);
            let expected_ms = estimates.expected_ms(pool, 0);
            prop_assert!((1..=max_ms + 1).contains(&expected_ms));
            prop_assert!(estimates.conservative_ms(pool, 0) >= expected_ms);
        }
    }

    #[test]
    fn requested_deadline_never_exceeds_the_declared_one(
        arrived_ms in any::<u64>(),
        declared_ms in any::<u64>(),
        requested_ms in prop::option::of(any::<u64>()),
    ) {
        let deadline_ms = effective_deadline_ms(arrived_ms, declared_ms, requested_ms);
        prop_assert!(deadline_ms <= arrived_ms.saturating_add(declared_ms));
    }

    #[test]
    fn granted_retries_stay_within_their_fraction_of_the_completed_stages(
        retries_per_hundred in 0..50_u32,
        events in prop::collection::vec(any::<bool>(), 1..500),
    ) {
        let mut budget = RetryBudget::new(retries_per_hundred, 1);
        let mut completed = 0;
        let mut granted = 0;
        for is_completion in events {
            if is_completion {
                completed += 1;
                budget.on_completed(true);
            } else if budget.try_retry() {
                granted += 1;
            }
            prop_assert!(granted * 100 <= completed * retries_per_hundred + 100);
        }
    }
}
