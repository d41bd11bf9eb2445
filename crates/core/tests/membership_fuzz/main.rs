//! Fuzzes the directory with late lists, answers out of order, restarts and moves.
//!
//! The oracle knows everything that was delivered and when it was true: an upstream may get work
//! only if the newest list, the latest answer and the operators all speak for it.

mod assignment;
#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{Run, assert_holds};
use proptest::{prelude::*, strategy::Union};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{UPSTREAMS, World};
use yuccatrail_core::{
    control::OperationsChange,
    membership::{InstanceState, Sabotage},
};

#[derive(Clone, Debug)]
enum Step {
    Publish,
    DeliverList { back: usize },
    Ask { upstream: usize },
    Answer { index: usize },
    DeliverAnswer { index: usize },
    Drain { upstream: usize, is_draining: bool },
    Restart { upstream: usize, is_moved: bool },
    Stop { upstream: usize },
    Announce { upstream: usize, is_leaving: bool },
    Operate(OperationsChange),
    BeginWork { index: usize },
    EndWork { index: usize },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Option<Sabotage>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(None).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let (upstream, index, flag) = (0..UPSTREAMS, 0..4_usize, any::<bool>());
        Union::new_weighted(vec![
            (4, Just(Step::Publish).boxed()),
            (4, (0..3_usize).prop_map(|back| Step::DeliverList { back }).boxed()),
            (12, upstream.clone().prop_map(|upstream| Step::Ask { upstream }).boxed()),
            (12, index.clone().prop_map(|index| Step::Answer { index }).boxed()),
            (12, index.clone().prop_map(|index| Step::DeliverAnswer { index }).boxed()),
            (3, (upstream.clone(), flag).prop_map(drain).boxed()),
            (2, (upstream.clone(), flag).prop_map(restart).boxed()),
            (1, upstream.clone().prop_map(|upstream| Step::Stop { upstream }).boxed()),
            (1, (upstream.clone(), flag).prop_map(announce).boxed()),
            (1, (0..4_u8, upstream).prop_map(operate).boxed()),
            (4, index.clone().prop_map(|index| Step::BeginWork { index }).boxed()),
            (3, index.prop_map(|index| Step::EndWork { index }).boxed()),
        ])
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

fn drain((upstream, is_draining): (usize, bool)) -> Step {
    Step::Drain { upstream, is_draining }
}

fn restart((upstream, is_moved): (usize, bool)) -> Step {
    Step::Restart { upstream, is_moved }
}

fn announce((upstream, is_leaving): (usize, bool)) -> Step {
    Step::Announce { upstream, is_leaving }
}

fn operate((kind, index): (u8, usize)) -> Step {
    Step::Operate(match kind {
        0 => OperationsChange::DataCentreOut(format!("centre-{index}")),
        1 => OperationsChange::DataCentreIn(format!("centre-{index}")),
        2 => OperationsChange::UpstreamLeave(format!("engine-{index}")),
        _ => OperationsChange::UpstreamReturn(format!("engine-{index}")),
    })
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(off: &Option<Sabotage>) -> World {
        World::new(*off)
    }

    fn apply(mut world: World, _: &Option<Sabotage>, step: Step) -> World {
        match step {
            Step::Publish => world.publish(),
            Step::DeliverList { back } => world.deliver_list(back),
            Step::Ask { upstream } => world.ask(upstream),
            Step::Answer { index } => world.answer(index),
            Step::DeliverAnswer { index } => world.deliver_answer(index),
            Step::Drain { upstream, is_draining } => {
                world.upstreams[upstream].is_draining = is_draining;
            }
            Step::Restart { upstream, is_moved } => world.restart(upstream, is_moved),
            Step::Stop { upstream } => world.upstreams[upstream].is_up = false,
            Step::Announce { upstream, is_leaving } => {
                world.upstreams[upstream].state = match is_leaving {
                    true => InstanceState::Leaving,
                    false => InstanceState::Live,
                };
            }
            Step::Operate(change) => world.operate(&change),
            Step::BeginWork { index } => world.begin_work(index),
            Step::EndWork { index } => world.end_work(index),
        }
        world
    }

    fn check_invariants(world: &World, _: &Option<Sabotage>) {
        world.check();
    }

    fn teardown(mut world: World, _: Option<Sabotage>) {
        world.finish();
        world.check();
    }
}

#[test]
fn only_upstreams_in_service_get_work() {
    assert_holds::<Fuzz>(Run { seed: 4, cases: 1_000, steps: 120 });
}

#[cfg(feature = "sabotage")]
#[test]
fn the_oracle_notices_each_missing_mechanism() {
    for off in [
        Sabotage::ListVersion,
        Sabotage::DirectEvidence,
        Sabotage::EvidenceOrder,
        Sabotage::ContactFailure,
        Sabotage::ListedOnly,
        Sabotage::Operations,
    ] {
        let run = Run { seed: 4, cases: 1_000, steps: 120 };
        harness::assert_caught::<Fuzz>(run, &format!("{off:?}"), |_| Some(off));
    }
}
