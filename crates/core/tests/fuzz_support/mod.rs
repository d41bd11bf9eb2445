//! Runs fuzz of state machines with a fixed seed, so that CI always sees the same cases.
//!
//! The environment variable `PROPTEST_CASES` sets another number of cases, for longer runs.

use std::{env, sync::atomic::Ordering};

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;

/// Seed of the random number generator.
const SEED: u64 = 20_261_203;

/// Constructs a state machine, under the feature `sabotage` with a mechanism switched off.
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

/// Checks generated sequences of up to `max_steps` steps; returns the first broken promise.
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
    let result = runner.run(&strategy, |(_, steps, seen)| {
        // Shrinking may drop every step that was not seen.
        if let Some(seen) = seen {
            seen.store(steps.len(), Ordering::SeqCst);
        }
        check(&steps).map_err(TestCaseError::fail)
    });
    result.map_err(|it| it.to_string())
}

/// Asserts that the fuzz notices when a mechanism is missing.
#[cfg(feature = "sabotage")]
pub(crate) fn assert_detected(
    sabotage: yuccatrail_core::sabotage::Sabotage,
    result: Result<(), String>,
) {
    let Err(failure) = result else { panic!("nothing noticed that {sabotage:?} is off") };
    println!("{sabotage:?} off: {failure}");
}
