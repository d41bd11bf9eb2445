//! Fuzzes the spread of control state and the acceptance of changes.
//!
//! The oracle knows only the writes that took effect on the platform: versions at a process never
//! fall, every record in force was accepted, an accepted change stays in the history, a refused one
//! never enters it, and connected processes converge.

#[path = "../harness/mod.rs"]
mod harness;
mod object;
mod world;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use object::Fate;
use proptest::prelude::*;
use world::{ControlWorld, PROCESSES};
use yuccatrail_core::control::Sabotage;

const FUZZ: FuzzSettings = FuzzSettings { seed: 1, cases: 1_000, steps: 120 };

steps! {
    3 Promote { text: u8 = 0..4_u8, is_strict: bool = any::<bool>() }
    2 Operate { change: u8 = 0..6_u8 }
    12 CallConfig { operator: usize = 0..4_usize, fate: Fate = fate() }
    12 CallOperations { operator: usize = 0..4_usize, fate: Fate = fate() }
    1 LandLateConfig { index: usize = 0..4_usize }
    1 LandLateOperations { index: usize = 0..4_usize }
    4 Watch { process: usize = 0..PROCESSES }
    6 Send { from: usize = 0..PROCESSES, to: usize = 0..PROCESSES }
    10 Deliver { index: usize = 0..8_usize, is_repeated: bool = any::<bool>() }
    1 Restart { process: usize = 0..PROCESSES }
    1 SetPlatform { is_up: bool = any::<bool>() }
    1 Partition { mask: u8 = any::<u8>() }
    1 ForgeRecord { process: usize = 0..PROCESSES }
    1 GarbleRecord { process: usize = 0..PROCESSES }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Unavailable),
        2 => Just(Fate::AnswerLostAfterEffect),
        1 => Just(Fate::EffectDelayed),
    ]
}

impl harness::Simulation for ControlWorld {
    type Mechanism = Sabotage;
    type Step = Step;

    fn new(off: Option<Sabotage>) -> Self {
        Self::start(off)
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Promote { text, is_strict } => self.promote(text, is_strict),
            Step::Operate { change } => self.operate(change),
            Step::CallConfig { operator, fate } => self.config.call(operator, fate, self.is_up),
            Step::CallOperations { operator, fate } => {
                self.operations.call(operator, fate, self.is_up);
            }
            Step::LandLateConfig { index } => self.config.land(index),
            Step::LandLateOperations { index } => self.operations.land(index),
            Step::Watch { process } => self.watch(process),
            Step::Send { from, to } => self.send(from, to),
            Step::Deliver { index, is_repeated } => self.deliver(index, is_repeated),
            Step::Restart { process } => self.restart(process),
            Step::SetPlatform { is_up } => self.is_up = is_up,
            Step::Partition { mask } => self.mask = mask,
            Step::ForgeRecord { process } => self.forge(process),
            Step::GarbleRecord { process } => self.garble(process),
        }
        self.raise_floors();
    }

    fn check(&self) {
        self.check_records();
    }

    fn finish(self) {
        self.heal();
    }
}

#[test]
fn control_state_never_falls_back_and_accepted_changes_stay() {
    assert_invariants_hold::<ControlWorld>(FUZZ);
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
        harness::assert_detected::<ControlWorld>(FUZZ, off);
    }
}
