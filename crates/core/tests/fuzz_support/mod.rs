//! Fuzzes state machines with a fixed seed, so that CI always runs the same cases.
//!
//! The environment variable `PROPTEST_CASES` sets another number of cases for longer runs.

use std::{env, sync::atomic::Ordering};

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;

/// Seed of the random number generator.
const SEED: u64 = 20_261_203;

/// Constructs a state machine, with the given safety mechanism disabled under the feature
/// `sabotage`.
macro_rules! construct {
    ($sabotage:expr, $type:ident($($argument:expr),*)) => {
        match $sabotage {
            #[cfg(feature = "sabotage")]
            Some(sabotage) => $type::with_sabotage($($argument,)* sabotage),
            _ => $type::new($($argument),*),
        }
    };
}

pub(crate) use construct;

/// Checks random sequences of fewer than `max_steps` steps; returns the first violated invariant.
pub(crate) fn run<M: ReferenceStateMachine>(
    cases: u32,
    max_steps: usize,
    check: impl Fn(&[M::Transition]) -> Result<(), String>,
) -> Result<(), String> {
    let cases = env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(cases);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let strategy = M::sequential_strategy(1..max_steps);
    let result = runner.run(&strategy, |(_, steps, seen_counter)| {
        // Shrinking may remove every step that is not counted as seen, so all are counted.
        if let Some(seen_counter) = seen_counter {
            seen_counter.store(steps.len(), Ordering::SeqCst);
        }
        check(&steps).map_err(TestCaseError::fail)
    });
    result.map_err(|it| it.to_string())
}

/// Asserts that a fuzz test has found a violation while a mechanism was disabled.
#[cfg(feature = "sabotage")]
pub(crate) fn assert_detected(
    sabotage: yuccatrail_core::sabotage::Sabotage,
    result: Result<(), String>,
) {
    let Err(failure) = result else { panic!("no violation found with {sabotage:?} disabled") };
    println!("{sabotage:?} disabled: {failure}");
}
