//! Fuzzes leases and orders with pauses, forward clock jumps, lost answers and restarts.
//!
//! The oracle looks at the engines: none executes an order with a lower number than one that it
//! executed, and no two holders share a number. As long as no clock jumps, at most one process
//! believes that it holds the lease.

#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{Run, assert_holds};
use proptest::{prelude::*, strategy::Union};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{AGENTS, Fate, HOLDERS, World};
use yuccatrail_core::placement::Sabotage;

#[derive(Clone, Debug)]
enum Step {
    Advance { by_ms: u64 },
    JumpClock { holder: usize, by_ms: u64 },
    Drive { holder: usize, fate: Fate },
    RunAlone { holder: usize, rounds: u64 },
    Freeze { holder: usize, is_frozen: bool },
    RestartHolder { holder: usize, is_closed: bool },
    LandLateWrite { index: usize },
    SetPlatform { is_up: bool },
    Order { holder: usize },
    TakeOrder { agent: usize, order: usize, is_executed: bool },
    Execute { agent: usize, index: usize, is_answered: bool },
    TimeOut { agent: usize },
    RestartAgent { agent: usize },
    Learn { agent: usize },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Option<Sabotage>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(None).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            6 => Just(Fate::Answered),
            1 => Just(Fate::AnswerLostAfterEffect),
            1 => Just(Fate::EffectDelayed),
        ];
        let (holder, agent, flag) = (0..HOLDERS, 0..AGENTS, any::<bool>());
        let execute = (agent.clone(), 0..2_usize, flag).prop_map(execute);
        Union::new_weighted(vec![
            (12, (1..300_u64).prop_map(|by_ms| Step::Advance { by_ms }).boxed()),
            (1, (holder.clone(), 1..2_000_u64).prop_map(jump_clock).boxed()),
            (24, (holder.clone(), fate).prop_map(drive).boxed()),
            (6, (holder.clone(), 1..25_u64).prop_map(run_alone).boxed()),
            (3, (holder.clone(), flag).prop_map(freeze).boxed()),
            (1, (holder.clone(), flag).prop_map(restart_holder).boxed()),
            (2, (0..2_usize).prop_map(|index| Step::LandLateWrite { index }).boxed()),
            (1, flag.prop_map(|is_up| Step::SetPlatform { is_up }).boxed()),
            (8, holder.prop_map(|holder| Step::Order { holder }).boxed()),
            (24, (agent.clone(), 0..64_usize, flag).prop_map(take_order).boxed()),
            (12, execute.boxed()),
            (3, agent.clone().prop_map(|agent| Step::TimeOut { agent }).boxed()),
            (1, agent.clone().prop_map(|agent| Step::RestartAgent { agent }).boxed()),
            (6, agent.prop_map(|agent| Step::Learn { agent }).boxed()),
        ])
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

fn jump_clock((holder, by_ms): (usize, u64)) -> Step {
    Step::JumpClock { holder, by_ms }
}

fn drive((holder, fate): (usize, Fate)) -> Step {
    Step::Drive { holder, fate }
}

fn run_alone((holder, rounds): (usize, u64)) -> Step {
    Step::RunAlone { holder, rounds }
}

fn freeze((holder, is_frozen): (usize, bool)) -> Step {
    Step::Freeze { holder, is_frozen }
}

fn restart_holder((holder, is_closed): (usize, bool)) -> Step {
    Step::RestartHolder { holder, is_closed }
}

fn take_order((agent, order, is_executed): (usize, usize, bool)) -> Step {
    Step::TakeOrder { agent, order, is_executed }
}

fn execute((agent, index, is_answered): (usize, usize, bool)) -> Step {
    Step::Execute { agent, index, is_answered }
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
            Step::Advance { by_ms } => world.advance(by_ms),
            Step::JumpClock { holder, by_ms } => world.jump_clock(holder, by_ms),
            Step::Drive { holder, fate } => world.drive(holder, fate),
            Step::RunAlone { holder, rounds } => world.run_alone(holder, rounds),
            Step::Freeze { holder, is_frozen } => world.holders[holder].is_frozen = is_frozen,
            Step::RestartHolder { holder, is_closed } => world.restart_holder(holder, is_closed),
            Step::LandLateWrite { index } => world.land(index),
            Step::SetPlatform { is_up } => world.is_up = is_up,
            Step::Order { holder } => world.order(holder),
            Step::TakeOrder { agent, order, is_executed } => {
                world.take_order(agent, order);
                if is_executed {
                    world.execute(agent, 0, true);
                }
            }
            Step::Execute { agent, index, is_answered } => {
                world.execute(agent, index, is_answered);
            }
            Step::TimeOut { agent } => world.time_out(agent),
            Step::RestartAgent { agent } => world.restart_agent(agent),
            Step::Learn { agent } => world.learn(agent),
        }
        world
    }

    fn teardown(mut world: World, _: Option<Sabotage>) {
        world.finish();
    }
}

#[test]
fn no_engine_executes_an_older_order() {
    assert_holds::<Fuzz>(Run { seed: 3, cases: 1_000, steps: 200 });
}

#[cfg(feature = "sabotage")]
#[test]
fn the_oracle_notices_each_missing_mechanism() {
    for off in [
        Sabotage::ValidFromSent,
        Sabotage::ExpiryCheck,
        Sabotage::AwaitExpiry,
        Sabotage::RisingFence,
        Sabotage::FenceCheck,
        Sabotage::FenceAfterRestart,
        Sabotage::SettleOrders,
    ] {
        let run = Run { seed: 3, cases: 1_000, steps: 200 };
        harness::assert_caught::<Fuzz>(run, &format!("{off:?}"), |_| Some(off));
    }
}
