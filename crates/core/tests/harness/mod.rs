//! Runs state machine tests from fixed seeds.

#![allow(dead_code, unused_imports, unused_macros, reason = "each test uses a part of it")]

use std::{cell::Cell, fmt::Debug, marker::PhantomData};

use proptest::{
    strategy::{BoxedStrategy, Just, Strategy},
    test_runner::{Config, RngSeed, TestError, TestRunner},
};
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

/// Declares the steps of a case, each with its weight and the strategies of its fields.
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

/// A world that steps change and whose promises can be checked at any time.
pub(crate) trait Simulation: Sized + 'static {
    /// A mechanism that can be off.
    type Mechanism: Copy + Debug + 'static;
    /// A step that changes the world.
    type Step: Clone + Debug + 'static;

    fn new(off: Option<Self::Mechanism>) -> Self;
    fn step() -> BoxedStrategy<Self::Step>;
    fn apply(&mut self, step: Self::Step);
    fn check(&self);
    /// Heals everything and checks that the system recovers.
    fn finish(self);
}

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FuzzSettings {
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Number of cases; the variable `PROPTEST_CASES` may raise it.
    pub(crate) cases: u32,
    /// Largest number of steps in a case.
    pub(crate) steps: usize,
}

struct Machine<W>(PhantomData<W>);

impl<W: Simulation> ReferenceStateMachine for Machine<W> {
    type State = Option<W::Mechanism>;
    type Transition = W::Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(None).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<W::Step> {
        W::step()
    }

    fn apply(off: Self::State, _: &W::Step) -> Self::State {
        off
    }
}

impl<W: Simulation> StateMachineTest for Machine<W> {
    type SystemUnderTest = W;
    type Reference = Self;

    fn init_test(off: &Option<W::Mechanism>) -> W {
        W::new(*off)
    }

    fn apply(mut world: W, _: &Option<W::Mechanism>, step: W::Step) -> W {
        world.apply(step);
        world
    }

    fn check_invariants(world: &W, _: &Option<W::Mechanism>) {
        world.check();
    }

    fn teardown(world: W, _: Option<W::Mechanism>) {
        world.finish();
    }
}

/// Asserts that no case breaks a promise.
pub(crate) fn assert_invariants_hold<W: Simulation>(settings: FuzzSettings) {
    if let Err(error) = execute::<W>(settings, None, u32::MAX, &Cell::new(0)) {
        panic!("seed {}: {error}", settings.seed);
    }
}

/// Asserts that some case breaks a promise while a mechanism is off.
pub(crate) fn assert_detected<W: Simulation>(settings: FuzzSettings, off: W::Mechanism) {
    let (executed, seed) = (Cell::new(0), settings.seed);
    // One attempt to shrink is the least that the state machine strategy works with.
    match execute::<W>(settings, Some(off), 1, &executed) {
        Err(TestError::Fail(reason, _)) => {
            println!("{off:?}: seed {seed}: caught within {} cases: {reason}", executed.get());
        }
        _ => panic!("{off:?}: seed {seed}: not caught within {} cases", executed.get()),
    }
}

fn execute<W: Simulation>(
    settings: FuzzSettings,
    off: Option<W::Mechanism>,
    max_shrink_iters: u32,
    executed: &Cell<u32>,
) -> Result<(), TestError<String>> {
    let config = Config { max_shrink_iters, ..config(settings.seed, settings.cases) };
    let strategy = Machine::<W>::sequential_strategy(1..settings.steps);
    let outcome = TestRunner::new(config.clone()).run(&strategy, |(_, steps, seen)| {
        executed.set(executed.get() + 1);
        Machine::<W>::test_sequential(config.clone(), off, steps, seen);
        Ok(())
    });
    outcome.map_err(|error| match error {
        TestError::Abort(reason) => TestError::Abort(reason),
        TestError::Fail(reason, (_, steps, _)) => TestError::Fail(reason, format!("{steps:#?}")),
    })
}

/// Settings of a test with a fixed seed and at least `cases` cases.
pub(crate) fn config(seed: u64, cases: u32) -> Config {
    let raised = std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok());
    Config {
        cases: cases.max(raised.unwrap_or(0)),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
