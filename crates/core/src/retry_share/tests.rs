use proptest::{prelude::*, test_runner::RngSeed};

use crate::retry_share::{RetryLimit, RetryShare};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 52.0, window_ms: 10_000 };

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service = "s".into();
    let mut share = RetryShare::new(LIMIT);
    let allowed = (0..100).filter(|_| share.take(&service, 3, 1_000)).count();
    assert_eq!(allowed, 13);
    assert!(!share.take(&service, 3, 11_000));
    assert!(share.take(&service, 3, 11_001));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The retries of all entries together stay within the limit in every window, however unevenly
    /// requests arrive.
    #[test]
    fn retries_of_all_entries_together_stay_within_the_limit(
        entries in 1_usize..30,
        events in prop::collection::vec((0_usize..30, 0_u64..200, any::<bool>()), 1..600),
    ) {
        let service = "s".into();
        let mut shares: Vec<RetryShare> = (0..entries).map(|_| RetryShare::new(LIMIT)).collect();
        let (mut now_ms, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (entry, pause_ms, is_request) in events {
            now_ms += pause_ms;
            let share = &mut shares[entry % entries];
            if is_request {
                share.count_request(&service, now_ms);
                requests.push(now_ms);
            } else if share.take(&service, entries, now_ms) {
                retries.push(now_ms);
            }
            let start_ms = now_ms.saturating_sub(LIMIT.window_ms);
            let in_window = |it: &&u64| **it >= start_ms;
            let limit = LIMIT.ratio * requests.iter().filter(in_window).count() as f64 + LIMIT.slack;
            prop_assert!(retries.iter().filter(in_window).count() as f64 <= limit);
        }
    }
}
