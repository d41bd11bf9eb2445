//! Fuzzes the refusal of new work with frozen processes, stale entries and platform outages.
//!
//! The oracle knows when a change was accepted and which ways for news were open: once both have
//! lasted for the bound, nothing may be dispatched at an upstream that is out.

#[path = "../harness/mod.rs"]
mod harness;
mod world;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::{bool::weighted, prelude::*};
use world::{AGENTS, DrainWorld, ENTRIES};
use yuccatrail_core::drain::Sabotage;

const FUZZ: FuzzSettings = FuzzSettings { seed: 2, cases: 1_000, steps: 100 };

steps! {
    12 Advance { ticks: u64 = 1..24_u64 }
    4 Change { number: usize = 0..4 * AGENTS }
    12 Submit { agent: usize = 0..AGENTS }
    4 FinishCall { agent: usize = 0..AGENTS }
    6 FreezeAgent { agent: usize = 0..AGENTS, is_frozen: bool = any::<bool>() }
    2 Stutter { agent: usize = 0..AGENTS, ticks: u64 = 2..12_u64, times: u64 = 2..8_u64 }
    2 FreezeEntry { entry: usize = 0..ENTRIES, is_frozen: bool = weighted(0.3) }
    2 IsolateEntry { entry: usize = 0..ENTRIES, is_isolated: bool = any::<bool>() }
    2 LinkPlatform { entry: usize = 0..ENTRIES, is_linked: bool = weighted(0.8) }
    2 LinkAgent { agent: usize = 0..AGENTS, entry: usize = 0..ENTRIES, is_linked: bool = weighted(0.8) }
    1 LinkEntries { is_linked: bool = weighted(0.8) }
    1 SetPlatform { is_up: bool = weighted(0.8) }
    1 List { agent: usize = 0..AGENTS, version: u64 = 1..20_u64 }
    1 Stop { agent: usize = 0..AGENTS }
}

impl harness::Simulation for DrainWorld {
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
            Step::Advance { ticks } => self.advance(ticks),
            Step::Change { number } => self.change(number),
            Step::Submit { agent } => self.submit(agent),
            Step::FinishCall { agent } => {
                let running = &mut self.agents[agent].running;
                *running = running.saturating_sub(1);
            }
            Step::FreezeAgent { agent, is_frozen } => {
                self.submit(agent);
                self.agents[agent].is_frozen = is_frozen;
            }
            Step::Stutter { agent, ticks, times } => self.stutter(agent, ticks, times),
            Step::FreezeEntry { entry, is_frozen } => self.entries[entry].is_frozen = is_frozen,
            Step::IsolateEntry { entry, is_isolated } => {
                self.entries[entry].is_platform_linked = !is_isolated;
                self.are_entries_linked = !is_isolated;
            }
            Step::LinkPlatform { entry, is_linked } => {
                self.entries[entry].is_platform_linked = is_linked;
            }
            Step::LinkAgent { agent, entry, is_linked } => {
                self.agents[agent].links[entry] = is_linked;
            }
            Step::LinkEntries { is_linked } => self.are_entries_linked = is_linked,
            Step::SetPlatform { is_up } => self.is_platform_up = is_up,
            Step::List { agent, version } => self.list(agent, version),
            Step::Stop { agent } => self.stop(agent),
        }
    }

    /// Every dispatch is checked where it happens.
    fn check(&self) {}

    fn finish(self) {
        self.heal();
    }
}

#[test]
fn nothing_is_dispatched_after_the_bound() {
    assert_invariants_hold::<DrainWorld>(FUZZ);
}

#[test]
fn repeated_short_pauses_do_not_break_the_bound() {
    for ticks in 1..12 {
        for lead in 1..24 {
            let mut world = DrainWorld::start(None);
            world.agents[0].is_frozen = true;
            world.change(0);
            world.advance(lead);
            // The agent wakes for long enough to take a call, and no longer.
            world.agents[0].is_frozen = false;
            world.submit(0);
            world.stutter(0, ticks, 8);
        }
    }
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
        harness::assert_detected::<DrainWorld>(FUZZ, off);
    }
}
