use proptest::{prelude::*, test_runner::RngSeed};

use crate::retry_share::{RetryLimit, RetryShare};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 52.0, window_ms: 10_000 };

fn share_among(entries: usize) -> RetryShare {
    let mut share = RetryShare::new(LIMIT, true, 0);
    share.set_entries(entries, 0);
    share
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let service = "s".into();
    let mut share = share_among(3);
    let allowed = (0..100).filter(|_| share.take(&service, 1_000)).count();
    assert_eq!(allowed, 13);
    assert!(!share.take(&service, 11_000));
    assert!(share.take(&service, 11_001));
}

#[test]
fn an_entry_that_starts_again_or_knows_no_others_has_only_its_requests() {
    let service = "s".into();
    let mut restarted = RetryShare::new(LIMIT, false, 5_000);
    restarted.set_entries(3, 5_000);
    let mut alone = RetryShare::new(LIMIT, true, 5_000);
    for share in [&mut restarted, &mut alone] {
        assert!(!share.take(&service, 14_999));
        (0..20).for_each(|_| share.count_request(&service, 14_999));
        assert_eq!((0..100).filter(|_| share.take(&service, 14_999)).count(), 3);
    }
    assert_eq!((0..100).filter(|_| restarted.take(&service, 15_000)).count(), 13);
}

#[test]
fn entries_that_have_left_count_for_one_window() {
    let service = "s".into();
    let mut share = share_among(13);
    share.set_entries(1, 1_000);
    assert_eq!((0..100).filter(|_| share.take(&service, 10_999)).count(), 3);
    assert_eq!((0..100).filter(|_| share.take(&service, 11_000)).count(), 36);
}

/// What happens at one entry.
#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Retry,
    /// The process is killed and starts again.
    Restart,
    /// The entry learns how many entries there are; before, it knows none or an older number.
    Listed,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => Just(Event::Request),
        24 => Just(Event::Retry),
        1 => Just(Event::Restart),
        2 => Just(Event::Listed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The retries of all entries together stay within the limit in every window, however unevenly
    /// requests arrive, and whenever entries restart.
    #[test]
    fn retries_of_all_entries_together_stay_within_the_limit(
        entries in 1_usize..30,
        events in prop::collection::vec((0_usize..30, 0_u64..200, event()), 1..900),
    ) {
        let service = "s".into();
        let mut shares: Vec<RetryShare> = (0..entries).map(|_| share_among(entries)).collect();
        let (mut now_ms, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (entry, pause_ms, event) in events {
            now_ms += pause_ms;
            let share = &mut shares[entry % entries];
            match event {
                Event::Request => {
                    share.count_request(&service, now_ms);
                    requests.push(now_ms);
                }
                Event::Retry if share.take(&service, now_ms) => retries.push(now_ms),
                Event::Retry => {}
                Event::Restart => *share = RetryShare::new(LIMIT, false, now_ms),
                Event::Listed => share.set_entries(entries, now_ms),
            }
            let start_ms = now_ms.saturating_sub(LIMIT.window_ms);
            let in_window = |it: &&u64| **it >= start_ms;
            let limit = LIMIT.ratio * requests.iter().filter(in_window).count() as f64 + LIMIT.slack;
            prop_assert!(retries.iter().filter(in_window).count() as f64 <= limit);
        }
    }
}
