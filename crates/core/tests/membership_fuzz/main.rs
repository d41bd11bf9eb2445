//! Fuzzes the directory with late lists, reordered reports, restarts and changes of address.
//!
//! The oracle records everything that was delivered and the time at which it held. An upstream may
//! get work only if the newest list, the latest report and the operational state all allow it.

mod assignment;
#[path = "../harness/mod.rs"]
mod harness;
mod simulation;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use simulation::{FleetSimulation, UPSTREAMS};
use yuccatrail_core::membership::{InstanceState, Sabotage};

const FUZZ: FuzzSettings = FuzzSettings { seed: 4, cases: 1_000, steps: 120 };

steps! {
    4 Publish { is_delivered: bool = any::<bool>() }
    4 DeliverList { age: usize = 0..3_usize }
    12 SendRequest { upstream: usize = 0..UPSTREAMS }
    12 Respond { index: usize = 0..4_usize }
    12 DeliverReport { index: usize = 0..4_usize }
    3 Drain { upstream: usize = 0..UPSTREAMS, is_draining: bool = any::<bool>() }
    2 Restart { upstream: usize = 0..UPSTREAMS, is_moved: bool = any::<bool>() }
    1 Stop { upstream: usize = 0..UPSTREAMS }
    1 MarkLeaving { upstream: usize = 0..UPSTREAMS }
    1 ChangeOperations { kind: u8 = 0..4_u8, index: usize = 0..UPSTREAMS }
    4 BeginWork { index: usize = 0..4_usize }
    3 EndWork { index: usize = 0..4_usize }
}

impl harness::Simulation for FleetSimulation {
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
            Step::Publish { is_delivered } => self.publish_list(is_delivered),
            Step::DeliverList { age } => self.deliver_list(age),
            Step::SendRequest { upstream } => self.send_request(upstream),
            Step::Respond { index } => self.respond(index),
            Step::DeliverReport { index } => self.deliver_report(index),
            Step::Drain { upstream, is_draining } => {
                self.upstreams[upstream].is_draining = is_draining;
            }
            Step::Restart { upstream, is_moved } => self.restart(upstream, is_moved),
            Step::Stop { upstream } => self.upstreams[upstream].is_up = false,
            Step::MarkLeaving { upstream } => {
                self.upstreams[upstream].state = InstanceState::Leaving;
            }
            Step::ChangeOperations { kind, index } => self.change_operations(kind, index),
            Step::BeginWork { index } => self.begin_work(index),
            Step::EndWork { index } => self.end_work(index),
        }
    }

    fn check(&self) {
        self.check_candidates();
    }

    fn finish(self) {
        self.recover();
    }
}

#[test]
fn only_upstreams_in_service_are_candidates() {
    assert_invariants_hold::<FleetSimulation>(FUZZ);
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    for disabled in [
        Sabotage::ListVersionCheck,
        Sabotage::ReportOverList,
        Sabotage::ReportOrder,
        Sabotage::ContactFailure,
        Sabotage::ListMembership,
        Sabotage::Operations,
    ] {
        harness::assert_detected::<FleetSimulation>(FUZZ, disabled);
    }
}
