//! Fuzzes the spread of control state and the acceptance of changes.
//!
//! The oracle knows only the writes that took effect on the platform: versions at a process never
//! fall, every record in force was accepted, an accepted change stays in the history, a refused one
//! never enters it, and connected processes converge.

#[path = "../harness/mod.rs"]
mod harness;
mod object;
mod world;

use harness::{Run, assert_holds};
use object::Fate;
use proptest::{prelude::*, strategy::Union};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{PROCESSES, World};
use yuccatrail_core::control::{HistoryEntry, Sabotage, Versions};

#[derive(Clone, Debug)]
enum Step {
    Promote { text: u8, is_strict: bool },
    Operate { change: u8 },
    Call { is_config: bool, operator: usize, fate: Fate },
    LandLateWrite { is_config: bool, index: usize },
    Watch { process: usize },
    Send { from: usize, to: usize },
    Deliver { index: usize, is_repeated: bool },
    Restart { process: usize },
    SetPlatform { is_up: bool },
    Partition { mask: u8 },
    Forge { process: usize, version_back: u64, is_digest_right: bool },
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
            4 => Just(Fate::Answered),
            1 => Just(Fate::Unavailable),
            2 => Just(Fate::AnswerLostAfterEffect),
            1 => Just(Fate::EffectDelayed),
        ];
        let process = 0..PROCESSES;
        Union::new_weighted(vec![
            (3, (0..4_u8, any::<bool>()).prop_map(promote).boxed()),
            (2, (0..6_u8).prop_map(|change| Step::Operate { change }).boxed()),
            (24, (any::<bool>(), 0..4_usize, fate).prop_map(call).boxed()),
            (2, (any::<bool>(), 0..4_usize).prop_map(land).boxed()),
            (4, process.clone().prop_map(|process| Step::Watch { process }).boxed()),
            (6, (process.clone(), process.clone()).prop_map(send).boxed()),
            (10, (0..8_usize, any::<bool>()).prop_map(deliver).boxed()),
            (1, process.clone().prop_map(|process| Step::Restart { process }).boxed()),
            (1, any::<bool>().prop_map(|is_up| Step::SetPlatform { is_up }).boxed()),
            (1, any::<u8>().prop_map(|mask| Step::Partition { mask }).boxed()),
            (1, (process, 0..3_u64, any::<bool>()).prop_map(forge).boxed()),
        ])
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

fn promote((text, is_strict): (u8, bool)) -> Step {
    Step::Promote { text, is_strict }
}

fn call((is_config, operator, fate): (bool, usize, Fate)) -> Step {
    Step::Call { is_config, operator, fate }
}

fn land((is_config, index): (bool, usize)) -> Step {
    Step::LandLateWrite { is_config, index }
}

fn send((from, to): (usize, usize)) -> Step {
    Step::Send { from, to }
}

fn deliver((index, is_repeated): (usize, bool)) -> Step {
    Step::Deliver { index, is_repeated }
}

fn forge((process, version_back, is_digest_right): (usize, u64, bool)) -> Step {
    Step::Forge { process, version_back, is_digest_right }
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
            Step::Promote { text, is_strict } => world.promote(text, is_strict),
            Step::Operate { change } => world.operate(change),
            Step::Call { is_config: true, operator, fate } => {
                world.config.call(operator, fate, world.is_up);
            }
            Step::Call { operator, fate, .. } => {
                world.operations.call(operator, fate, world.is_up);
            }
            Step::LandLateWrite { is_config: true, index } => world.config.land(index),
            Step::LandLateWrite { index, .. } => world.operations.land(index),
            Step::Watch { process } if world.is_up => {
                world.inbox.push((process, world.published()));
            }
            Step::Watch { .. } => {}
            Step::Send { from, to } => {
                if world.is_connected(from, to) {
                    let versions = world.processes[to].versions();
                    world.inbox.push((to, world.processes[from].update_for(versions)));
                }
            }
            Step::Deliver { index, is_repeated } if index < world.inbox.len() => {
                let (process, update) = world.inbox[index].clone();
                if !is_repeated {
                    world.inbox.remove(index);
                }
                world.processes[process].adopt(update);
            }
            Step::Deliver { .. } => {}
            Step::Restart { process } => {
                world.processes[process] = world.process();
                world.floors[process] = Versions::default();
            }
            Step::SetPlatform { is_up } => world.is_up = is_up,
            Step::Partition { mask } => world.mask = mask,
            Step::Forge { process, version_back, is_digest_right } => {
                world.forge(process, version_back, is_digest_right);
            }
        }
        for (process, floor) in world.processes.iter().zip(&mut world.floors) {
            let versions = process.versions();
            assert!(!floor.has_newer_than(versions), "versions fell at a process");
            *floor = versions;
        }
        world
    }

    fn check_invariants(world: &World, _: &Option<Sabotage>) {
        world.config.check();
        world.operations.check();
        for process in &world.processes {
            let Some(held) = process.config() else { continue };
            let is_held =
                |it: &HistoryEntry| it.version == held.version && it.digest == held.digest;
            assert!(world.config.log.iter().any(is_held), "a record in force was never accepted");
        }
    }

    fn teardown(mut world: World, off: Option<Sabotage>) {
        // Without the platform, connected processes agree on the newest state among them.
        for process in 0..PROCESSES {
            world.gossip(process);
        }
        world.mask = 0;
        world.config.finish();
        world.operations.finish();
        let published = world.published();
        world.processes[0].adopt(published);
        let versions = world.gossip(0);
        assert_eq!(versions.config, world.config.version(), "the newest state is not in force");
        Self::check_invariants(&world, &off);
    }
}

#[test]
fn control_state_never_falls_back_and_accepted_changes_stay() {
    assert_holds::<Fuzz>(Run { seed: 1, cases: 1_000, steps: 120 });
}

#[cfg(feature = "sabotage")]
#[test]
fn the_oracle_notices_each_missing_mechanism() {
    for off in [
        Sabotage::RisingVersions,
        Sabotage::DigestCheck,
        Sabotage::ConflictCheck,
        Sabotage::ReadBack,
        Sabotage::ConflictReport,
        Sabotage::ReadBackAfterConflict,
        Sabotage::History,
        Sabotage::Gossip,
    ] {
        let run = Run { seed: 1, cases: 1_000, steps: 120 };
        harness::assert_caught::<Fuzz>(run, &format!("{off:?}"), |_| Some(off));
    }
}
