//! Fuzzes the propagation of control state and the acceptance of changes.
//!
//! The oracle records only the writes that took effect on the platform. It checks that versions at a
//! process never decrease, that every record in force was accepted, that an accepted change stays
//! in the history and a refused one never enters it, and that connected processes converge.

#[path = "../harness/mod.rs"]
mod harness;
mod object;
mod simulation;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use object::CallOutcome;
use proptest::prelude::*;
use simulation::{ControlSimulation, PROCESSES};
use yuccatrail_core::control::Sabotage;

const FUZZ: FuzzSettings = FuzzSettings { seed: 1, cases: 1_000, steps: 120 };

steps! {
    3 Promote { text: u8 = 0..4_u8, expects_version: bool = any::<bool>() }
    2 ChangeOperations { change: u8 = 0..6_u8 }
    12 CallConfig { operator: usize = 0..4_usize, outcome: CallOutcome = outcome() }
    12 CallOperations { operator: usize = 0..4_usize, outcome: CallOutcome = outcome() }
    1 ApplyDelayedConfig { index: usize = 0..4_usize }
    1 ApplyDelayedOperations { index: usize = 0..4_usize }
    4 Watch { process: usize = 0..PROCESSES }
    6 Send { from: usize = 0..PROCESSES, to: usize = 0..PROCESSES }
    10 Deliver { index: usize = 0..8_usize, is_duplicated: bool = any::<bool>() }
    1 Restart { process: usize = 0..PROCESSES }
    1 SetPlatform { is_platform_up: bool = any::<bool>() }
    1 SetPartition { partition: u8 = any::<u8>() }
    1 OfferConflictingRecord { process: usize = 0..PROCESSES }
    1 OfferCorruptRecord { process: usize = 0..PROCESSES }
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::Unavailable),
        2 => Just(CallOutcome::AnswerLostAfterEffect),
        1 => Just(CallOutcome::EffectDelayed),
    ]
}

impl harness::Simulation for ControlSimulation {
    type Mechanism = Sabotage;
    type Step = Step;

    fn new(disabled: Option<Sabotage>) -> Self {
        Self::start(disabled)
    }

    fn step() -> BoxedStrategy<Step> {
        step()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Promote { text, expects_version } => self.promote(text, expects_version),
            Step::ChangeOperations { change } => self.change_operations(change),
            Step::CallConfig { operator, outcome } => {
                self.config.call(operator, outcome, self.is_platform_up)
            }
            Step::CallOperations { operator, outcome } => {
                self.operations.call(operator, outcome, self.is_platform_up);
            }
            Step::ApplyDelayedConfig { index } => self.config.apply_delayed(index),
            Step::ApplyDelayedOperations { index } => self.operations.apply_delayed(index),
            Step::Watch { process } => self.watch(process),
            Step::Send { from, to } => self.send(from, to),
            Step::Deliver { index, is_duplicated } => self.deliver(index, is_duplicated),
            Step::Restart { process } => self.restart(process),
            Step::SetPlatform { is_platform_up } => self.is_platform_up = is_platform_up,
            Step::SetPartition { partition } => self.partition = partition,
            Step::OfferConflictingRecord { process } => self.offer_conflicting(process),
            Step::OfferCorruptRecord { process } => self.offer_corrupt(process),
        }
        self.check_versions();
    }

    fn check(&self) {
        self.check_records();
    }

    fn finish(self) {
        self.recover();
    }
}

#[test]
fn versions_never_decrease_and_accepted_changes_persist() {
    assert_invariants_hold::<ControlSimulation>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    for disabled in [
        Sabotage::MonotonicVersions,
        Sabotage::DigestCheck,
        Sabotage::ConflictCheck,
        Sabotage::ReadBack,
        Sabotage::ConflictReport,
        Sabotage::ReadBackAfterConflict,
        Sabotage::History,
        Sabotage::Gossip,
    ] {
        harness::assert_detected::<ControlSimulation>(FUZZ, disabled);
    }
}
