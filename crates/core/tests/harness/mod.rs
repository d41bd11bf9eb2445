//! Runs state machine tests from fixed seeds.

use std::cell::Cell;

use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Turns a mechanism off, if one is named and the feature is on.
macro_rules! sabotage {
    ($part:expr, $off:expr) => {
        if let Some(off) = $off {
            #[cfg(feature = "sabotage")]
            $part.sabotage(off);
            #[cfg(not(feature = "sabotage"))]
            let _ = (&mut $part, off);
        }
    };
}
pub(crate) use sabotage;

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Number of cases; the variable `PROPTEST_CASES` may raise it.
    pub(crate) cases: u32,
    /// Largest number of steps in a case.
    pub(crate) steps: usize,
}

type State<T> = <<T as StateMachineTest>::Reference as ReferenceStateMachine>::State;

/// Asserts that no case breaks the promise.
pub(crate) fn assert_holds<T: StateMachineTest>(run: Run) {
    let executed = Cell::new(0);
    if let Err(error) = execute::<T>(run, &|state| state, u32::MAX, &executed) {
        panic!("seed {}: {error}", run.seed);
    }
}

/// Asserts that some case breaks the promise in the state that `prepare` makes.
#[cfg(feature = "sabotage")]
pub(crate) fn assert_caught<T: StateMachineTest>(
    run: Run,
    name: &str,
    prepare: impl Fn(State<T>) -> State<T>,
) {
    let executed = Cell::new(0);
    let seed = run.seed;
    // One attempt to shrink is the least that the state machine strategy works with.
    match execute::<T>(run, &prepare, 1, &executed) {
        Err(TestError::Fail(reason, _)) => {
            println!("{name}: seed {seed}: caught within {} cases: {reason}", executed.get());
        }
        _ => panic!("{name}: seed {seed}: not caught within {} cases", executed.get()),
    }
}

fn execute<T: StateMachineTest>(
    run: Run,
    prepare: &dyn Fn(State<T>) -> State<T>,
    max_shrink_iters: u32,
    executed: &Cell<u32>,
) -> Result<(), TestError<String>> {
    let raised = std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok());
    let config = Config {
        cases: run.cases.max(raised.unwrap_or(0)),
        rng_seed: RngSeed::Fixed(run.seed),
        failure_persistence: None,
        max_shrink_iters,
        ..Config::default()
    };
    let strategy = T::Reference::sequential_strategy(1..run.steps);
    let outcome = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        executed.set(executed.get() + 1);
        T::test_sequential(config.clone(), prepare(state), steps, seen);
        Ok(())
    });
    outcome.map_err(|error| match error {
        TestError::Abort(reason) => TestError::Abort(reason),
        TestError::Fail(reason, (_, steps, _)) => TestError::Fail(reason, format!("{steps:#?}")),
    })
}
