//! Fuzzes leases and orders with pauses, forward clock jumps, lost answers and restarts.
//!
//! The oracle looks at the engines: none executes an order with a lower number than one that it
//! executed, and no two holders share a number. As long as no clock jumps, at most one process
//! believes that it holds the lease.

#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::prelude::*;
use world::{AGENTS, Fate, HOLDERS, LeaseWorld};
use yuccatrail_core::placement::Sabotage;

const FUZZ: FuzzSettings = FuzzSettings { seed: 3, cases: 1_000, steps: 200 };

steps! {
    12 Advance { by_ms: u64 = 1..300_u64 }
    1 JumpClock { holder: usize = 0..HOLDERS, by_ms: u64 = 1..2_000_u64 }
    24 Drive { holder: usize = 0..HOLDERS, fate: Fate = fate() }
    6 RunAlone { holder: usize = 0..HOLDERS, rounds: u64 = 1..25_u64 }
    3 Freeze { holder: usize = 0..HOLDERS, is_frozen: bool = any::<bool>() }
    1 RestartHolder { holder: usize = 0..HOLDERS, is_closed: bool = any::<bool>() }
    2 LandLateWrite { index: usize = 0..2_usize }
    1 SetPlatform { is_up: bool = any::<bool>() }
    8 Order { holder: usize = 0..HOLDERS }
    12 TakeOrder { agent: usize = 0..AGENTS, order: usize = 0..64_usize }
    12 TakeAndExecute { agent: usize = 0..AGENTS, order: usize = 0..64_usize }
    12 Execute { agent: usize = 0..AGENTS, back: usize = 0..2_usize, is_answered: bool = any::<bool>() }
    3 TimeOut { agent: usize = 0..AGENTS }
    1 RestartAgent { agent: usize = 0..AGENTS }
    6 Learn { agent: usize = 0..AGENTS }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLostAfterEffect),
        1 => Just(Fate::EffectDelayed),
    ]
}

impl harness::Simulation for LeaseWorld {
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
            Step::Advance { by_ms } => self.advance(by_ms),
            Step::JumpClock { holder, by_ms } => self.jump_clock(holder, by_ms),
            Step::Drive { holder, fate } => self.drive(holder, fate),
            Step::RunAlone { holder, rounds } => self.run_alone(holder, rounds),
            Step::Freeze { holder, is_frozen } => self.holders[holder].is_frozen = is_frozen,
            Step::RestartHolder { holder, is_closed } => self.restart_holder(holder, is_closed),
            Step::LandLateWrite { index } => self.land(index),
            Step::SetPlatform { is_up } => self.is_up = is_up,
            Step::Order { holder } => self.order(holder),
            Step::TakeOrder { agent, order } => self.take_order(agent, order),
            Step::TakeAndExecute { agent, order } => {
                self.take_order(agent, order);
                self.execute(agent, 0, true);
            }
            Step::Execute { agent, back, is_answered } => self.execute(agent, back, is_answered),
            Step::TimeOut { agent } => self.time_out(agent),
            Step::RestartAgent { agent } => self.restart_agent(agent),
            Step::Learn { agent } => self.learn(agent),
        }
    }

    fn check(&self) {
        self.check_one_holder();
    }

    fn finish(self) {
        self.heal();
    }
}

#[test]
fn no_engine_executes_an_older_order() {
    assert_invariants_hold::<LeaseWorld>(FUZZ);
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
        harness::assert_detected::<LeaseWorld>(FUZZ, off);
    }
}
