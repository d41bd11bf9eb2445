//! Fuzzes the refusal of new work with frozen processes, stale entries and platform outages.
//!
//! The oracle knows when a change was accepted and which ways for news were open: once both have
//! lasted for the bound, nothing may be dispatched at an upstream that is out.

#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{Run, assert_holds};
use proptest::{prelude::*, strategy::Union};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{AGENTS, ENTRIES, World};
use yuccatrail_core::{control::OperationsChange, drain::Sabotage};

#[derive(Clone, Debug)]
enum Step {
    Advance { ticks: u64 },
    Change(OperationsChange),
    Submit { agent: usize },
    FinishCall { agent: usize },
    FreezeAgent { agent: usize, is_frozen: bool },
    Stutter { agent: usize, ticks: u64, times: u64 },
    FreezeEntry { entry: usize, is_frozen: bool },
    LinkPlatform { entry: usize, is_linked: bool },
    LinkAgent { agent: usize, entry: usize, is_linked: bool },
    LinkEntries { is_linked: bool },
    SetPlatform { is_up: bool },
    List { agent: usize, version: u64 },
    Stop { agent: usize },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Option<Sabotage>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(None).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let (agent, entry, flag) = (0..AGENTS, 0..ENTRIES, any::<bool>());
        let freeze = (agent.clone(), flag).prop_map(freeze_agent);
        let freeze_entry = (entry.clone(), flag)
            .prop_map(|(entry, is_frozen)| Step::FreezeEntry { entry, is_frozen });
        let link_platform = (entry.clone(), flag)
            .prop_map(|(entry, is_linked)| Step::LinkPlatform { entry, is_linked });
        let link_agent = (agent.clone(), entry, flag)
            .prop_map(|(agent, entry, is_linked)| Step::LinkAgent { agent, entry, is_linked });
        let list =
            (agent.clone(), 1..20_u64).prop_map(|(agent, version)| Step::List { agent, version });
        Union::new_weighted(vec![
            (12, (1..12_u64).prop_map(|ticks| Step::Advance { ticks }).boxed()),
            (4, (0..8_usize).prop_map(change).boxed()),
            (12, agent.clone().prop_map(|agent| Step::Submit { agent }).boxed()),
            (4, agent.clone().prop_map(|agent| Step::FinishCall { agent }).boxed()),
            (6, freeze.boxed()),
            (2, (agent.clone(), 2..12_u64, 2..8_u64).prop_map(stutter).boxed()),
            (2, freeze_entry.boxed()),
            (2, link_platform.boxed()),
            (2, link_agent.boxed()),
            (1, flag.prop_map(|is_linked| Step::LinkEntries { is_linked }).boxed()),
            (1, flag.prop_map(|is_up| Step::SetPlatform { is_up }).boxed()),
            (1, list.boxed()),
            (1, agent.prop_map(|agent| Step::Stop { agent }).boxed()),
        ])
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

fn freeze_agent((agent, is_frozen): (usize, bool)) -> Step {
    Step::FreezeAgent { agent, is_frozen }
}

fn stutter((agent, ticks, times): (usize, u64, u64)) -> Step {
    Step::Stutter { agent, ticks, times }
}

fn change(number: usize) -> Step {
    let (index, kind) = (number % AGENTS, number / AGENTS);
    Step::Change(match kind {
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
            Step::Advance { ticks } => world.advance(ticks),
            Step::Change(change) => world.change(&change),
            Step::Submit { agent } => world.submit(agent),
            Step::FinishCall { agent } => {
                let running = &mut world.agents[agent].running;
                *running = running.saturating_sub(1);
            }
            Step::FreezeAgent { agent, is_frozen } => world.agents[agent].is_frozen = is_frozen,
            Step::Stutter { agent, ticks, times } => world.stutter(agent, ticks, times),
            Step::FreezeEntry { entry, is_frozen } => world.entries[entry].is_frozen = is_frozen,
            Step::LinkPlatform { entry, is_linked } => {
                world.entries[entry].is_platform_linked = is_linked;
            }
            Step::LinkAgent { agent, entry, is_linked } => {
                world.agents[agent].links[entry] = is_linked;
            }
            Step::LinkEntries { is_linked } => world.are_entries_linked = is_linked,
            Step::SetPlatform { is_up } => world.is_platform_up = is_up,
            Step::List { agent, version } => world.list(agent, version),
            Step::Stop { agent } => world.stop(agent),
        }
        world
    }

    /// Heals everything and checks that work flows again.
    fn teardown(mut world: World, _: Option<Sabotage>) {
        world.is_platform_up = true;
        world.are_entries_linked = true;
        for entry in &mut world.entries {
            entry.is_frozen = false;
            entry.is_platform_linked = true;
        }
        for agent in &mut world.agents {
            agent.is_frozen = false;
            agent.links = [true; ENTRIES];
        }
        for number in 0..4 * AGENTS {
            if let Step::Change(change) = change(number) {
                world.change(&change);
            }
        }
        world.advance(50);
        for index in 0..AGENTS {
            if !world.agents[index].is_in_service() {
                continue;
            }
            let running = world.agents[index].running;
            world.submit(index);
            world.advance(1);
            assert_eq!(world.agents[index].load(), (0, running + 1), "work does not flow again");
        }
    }
}

#[test]
fn nothing_is_dispatched_after_the_bound() {
    assert_holds::<Fuzz>(Run { seed: 2, cases: 1_000, steps: 100 });
}

#[cfg(feature = "sabotage")]
#[test]
fn the_oracle_notices_each_missing_mechanism() {
    for off in [
        Sabotage::PauseDetection,
        Sabotage::ConfirmationAge,
        Sabotage::Operations,
        Sabotage::ListVersion,
        Sabotage::HandBack,
        Sabotage::AwaitWork,
    ] {
        let run = Run { seed: 2, cases: 1_000, steps: 100 };
        harness::assert_caught::<Fuzz>(run, &format!("{off:?}"), |_| Some(off));
    }
}
