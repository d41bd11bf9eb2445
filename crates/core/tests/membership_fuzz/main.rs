//! Fuzzes the directory with late lists, answers out of order, restarts and moves.
//!
//! The oracle knows everything that was delivered and when it was true: an upstream may get work
//! only if the newest list, the latest answer and the operators all speak for it.

mod assignment;
#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use world::{FleetWorld, UPSTREAMS};
use yuccatrail_core::membership::{InstanceState, Sabotage};

const FUZZ: FuzzSettings = FuzzSettings { seed: 4, cases: 1_000, steps: 120 };

steps! {
    4 Publish { is_delivered: bool = any::<bool>() }
    4 DeliverList { back: usize = 0..3_usize }
    12 Ask { upstream: usize = 0..UPSTREAMS }
    12 Answer { index: usize = 0..4_usize }
    12 DeliverAnswer { index: usize = 0..4_usize }
    3 Drain { upstream: usize = 0..UPSTREAMS, is_draining: bool = any::<bool>() }
    2 Restart { upstream: usize = 0..UPSTREAMS, is_moved: bool = any::<bool>() }
    1 Stop { upstream: usize = 0..UPSTREAMS }
    1 AnnounceLeave { upstream: usize = 0..UPSTREAMS }
    1 Operate { kind: u8 = 0..4_u8, index: usize = 0..UPSTREAMS }
    4 BeginWork { index: usize = 0..4_usize }
    3 EndWork { index: usize = 0..4_usize }
}

impl harness::Simulation for FleetWorld {
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
            Step::Publish { is_delivered } => self.publish_and(is_delivered),
            Step::DeliverList { back } => self.deliver_list(back),
            Step::Ask { upstream } => self.ask(upstream),
            Step::Answer { index } => self.answer(index),
            Step::DeliverAnswer { index } => self.deliver_answer(index),
            Step::Drain { upstream, is_draining } => {
                self.upstreams[upstream].is_draining = is_draining;
            }
            Step::Restart { upstream, is_moved } => self.restart(upstream, is_moved),
            Step::Stop { upstream } => self.upstreams[upstream].is_up = false,
            Step::AnnounceLeave { upstream } => {
                self.upstreams[upstream].state = InstanceState::Leaving;
            }
            Step::Operate { kind, index } => self.operate(kind, index),
            Step::BeginWork { index } => self.begin_work(index),
            Step::EndWork { index } => self.end_work(index),
        }
    }

    fn check(&self) {
        self.check_candidates();
    }

    fn finish(self) {
        self.heal();
    }
}

#[test]
fn only_upstreams_in_service_get_work() {
    assert_invariants_hold::<FleetWorld>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn the_oracle_notices_each_missing_mechanism() {
    for off in [
        Sabotage::ListVersionCheck,
        Sabotage::ReportOverList,
        Sabotage::ReportOrder,
        Sabotage::ContactFailure,
        Sabotage::ListMembership,
        Sabotage::Operations,
    ] {
        harness::assert_detected::<FleetWorld>(FUZZ, off);
    }
}
