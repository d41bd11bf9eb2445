//! Runs state machine tests with fixed seeds.

#![allow(dead_code, unused_imports, unused_macros, reason = "each test uses a part of it")]

use std::{cell::Cell, fmt::Debug, marker::PhantomData};

use proptest::{
    strategy::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed, TestError, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Disables a safety mechanism of `$part`, if one is given and the feature `sabotage` is enabled.
macro_rules! sabotage {
    ($part:expr, $disabled:expr) => {
        if let Some(disabled) = $disabled {
            #[cfg(feature = "sabotage")]
            $part.sabotage(disabled);
            #[cfg(not(feature = "sabotage"))]
            let _ = (&mut $part, disabled);
        }
    };
}

/// Declares the enum `Step` and the strategy `step` that generates it: each variant with its weight
/// and the strategies of its fields.
macro_rules! steps {
    ($($weight:literal $name:ident { $($field:ident: $type:ty = $strategy:expr),* })*) => {
        #[derive(Clone, Debug)]
        pub(crate) enum Step {
            $($name { $($field: $type),* },)*
        }

        fn step() -> proptest::strategy::BoxedStrategy<Step> {
            use proptest::strategy::{Strategy, Union};
            Union::new_weighted(vec![$((
                $weight,
                ($($strategy,)*).prop_map(|($($field,)*)| Step::$name { $($field),* }).boxed(),
            )),*])
            .boxed()
        }
    };
}
pub(crate) use {sabotage, steps};

/// A simulated system that random steps change and whose invariants can be checked after each step.
pub(crate) trait Simulation: Sized + 'static {
    /// A safety mechanism that can be disabled.
    type Mechanism: Copy + Debug + 'static;
    /// A step that changes the simulated system.
    type Step: Clone + Debug + 'static;

    fn new(disabled: Option<Self::Mechanism>) -> Self;
    fn step() -> BoxedStrategy<Self::Step>;
    fn apply(&mut self, step: Self::Step);
    fn check(&self);
    /// Ends all injected failures and checks that the system recovers.
    fn finish(self);
}

/// Settings of one fuzz test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FuzzSettings {
    /// Seed of the random number generator.
    pub(crate) seed: u64,
    /// Number of cases; the environment variable `PROPTEST_CASES` can raise it.
    pub(crate) cases: u32,
    /// Upper limit of the number of steps in a case, exclusive.
    pub(crate) steps: usize,
}

struct Machine<S>(PhantomData<S>);

impl<S: Simulation> ReferenceStateMachine for Machine<S> {
    type State = Option<S::Mechanism>;
    type Transition = S::Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(None).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<S::Step> {
        S::step()
    }

    fn apply(disabled: Self::State, _: &S::Step) -> Self::State {
        disabled
    }
}

impl<S: Simulation> StateMachineTest for Machine<S> {
    type SystemUnderTest = S;
    type Reference = Self;

    fn init_test(disabled: &Option<S::Mechanism>) -> S {
        S::new(*disabled)
    }

    fn apply(mut simulation: S, _: &Option<S::Mechanism>, step: S::Step) -> S {
        simulation.apply(step);
        simulation
    }

    fn check_invariants(simulation: &S, _: &Option<S::Mechanism>) {
        simulation.check();
    }

    fn teardown(simulation: S, _: Option<S::Mechanism>) {
        simulation.finish();
    }
}

/// Asserts that no case violates an invariant.
pub(crate) fn assert_invariants_hold<S: Simulation>(settings: FuzzSettings) {
    if let Err(error) = execute::<S>(settings, None, u32::MAX, &Cell::new(0)) {
        panic!("seed {}: {error}", settings.seed);
    }
}

/// Asserts that some case violates an invariant while a mechanism is disabled.
pub(crate) fn assert_detected<S: Simulation>(settings: FuzzSettings, disabled: S::Mechanism) {
    let (executed, seed) = (Cell::new(0), settings.seed);
    // The state machine strategy needs at least one shrink iteration.
    match execute::<S>(settings, Some(disabled), 1, &executed) {
        Err(TestError::Fail(reason, _)) => {
            println!(
                "{disabled:?}: seed {seed}: violation found within {} cases: {reason}",
                executed.get()
            );
        }
        _ => {
            panic!("{disabled:?}: seed {seed}: no violation found within {} cases", executed.get())
        }
    }
}

fn execute<S: Simulation>(
    settings: FuzzSettings,
    disabled: Option<S::Mechanism>,
    max_shrink_iters: u32,
    executed: &Cell<u32>,
) -> Result<(), TestError<String>> {
    let config = Config { max_shrink_iters, ..config(settings.seed, settings.cases) };
    let strategy = Machine::<S>::sequential_strategy(1..settings.steps);
    let outcome = TestRunner::new(config.clone()).run(&strategy, |(_, steps, seen_counter)| {
        executed.set(executed.get() + 1);
        Machine::<S>::test_sequential(config.clone(), disabled, steps, seen_counter);
        Ok(())
    });
    outcome.map_err(|error| match error {
        TestError::Abort(reason) => TestError::Abort(reason),
        TestError::Fail(reason, (_, steps, _)) => TestError::Fail(reason, format!("{steps:#?}")),
    })
}

/// Returns the proptest settings of a test with a fixed seed and at least `cases` cases.
pub(crate) fn config(seed: u64, cases: u32) -> Config {
    let requested = std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok());
    Config {
        cases: cases.max(requested.unwrap_or(0)),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
