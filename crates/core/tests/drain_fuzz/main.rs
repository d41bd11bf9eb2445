//! Fuzzes the refusal of new work with paused processes, stale entries and platform outages.
//!
//! The oracle records when a change was accepted and which routes were open for control state to
//! reach an agent. Once both have lasted for the propagation bound, nothing may be dispatched at an
//! upstream that is out of service.

#[path = "../harness/mod.rs"]
mod harness;
mod simulation;

use harness::{FuzzSettings, assert_invariants_hold, steps};
use proptest::{bool::weighted, prelude::*};
use simulation::{AGENTS, DrainSimulation, ENTRIES};
use yuccatrail_core::drain::Sabotage;

const FUZZ: FuzzSettings = FuzzSettings { seed: 2, cases: 1_000, steps: 100 };

steps! {
    12 Advance { ticks: u64 = 1..24_u64 }
    4 Change { number: usize = 0..4 * AGENTS }
    12 Submit { agent: usize = 0..AGENTS }
    4 FinishCall { agent: usize = 0..AGENTS }
    6 PauseAgent { agent: usize = 0..AGENTS, is_paused: bool = any::<bool>() }
    2 PauseRepeatedly { agent: usize = 0..AGENTS, ticks: u64 = 2..12_u64, times: u64 = 2..8_u64 }
    2 PauseEntry { entry: usize = 0..ENTRIES, is_paused: bool = weighted(0.3) }
    2 IsolateEntry { entry: usize = 0..ENTRIES, is_isolated: bool = any::<bool>() }
    2 LinkPlatform { entry: usize = 0..ENTRIES, is_linked: bool = weighted(0.8) }
    2 LinkAgent { agent: usize = 0..AGENTS, entry: usize = 0..ENTRIES, is_linked: bool = weighted(0.8) }
    1 LinkEntries { is_linked: bool = weighted(0.8) }
    1 SetPlatform { is_up: bool = weighted(0.8) }
    1 List { agent: usize = 0..AGENTS, version: u64 = 1..20_u64 }
    1 Stop { agent: usize = 0..AGENTS }
}

impl harness::Simulation for DrainSimulation {
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
            Step::Advance { ticks } => self.advance(ticks),
            Step::Change { number } => self.change(number),
            Step::Submit { agent } => self.submit(agent),
            Step::FinishCall { agent } => {
                let running = &mut self.agents[agent].running;
                *running = running.saturating_sub(1);
            }
            Step::PauseAgent { agent, is_paused } => {
                self.submit(agent);
                self.agents[agent].is_paused = is_paused;
            }
            Step::PauseRepeatedly { agent, ticks, times } => {
                self.pause_repeatedly(agent, ticks, times)
            }
            Step::PauseEntry { entry, is_paused } => self.entries[entry].is_paused = is_paused,
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

    /// Nothing: every dispatch is checked as it happens.
    fn check(&self) {}

    fn finish(self) {
        self.recover();
    }
}

#[test]
fn nothing_is_dispatched_after_the_propagation_bound() {
    assert_invariants_hold::<DrainSimulation>(FUZZ);
}

#[test]
fn repeated_short_pauses_do_not_exceed_the_propagation_bound() {
    for ticks in 1..12 {
        for delay in 1..24 {
            let mut simulation = DrainSimulation::start(None);
            simulation.agents[0].is_paused = true;
            simulation.change(0);
            simulation.advance(delay);
            // The agent runs just long enough to accept a call.
            simulation.agents[0].is_paused = false;
            simulation.submit(0);
            simulation.pause_repeatedly(0, ticks, 8);
        }
    }
}

#[cfg(feature = "sabotage")]
#[test]
fn oracle_detects_each_disabled_mechanism() {
    for disabled in [
        Sabotage::PauseDetection,
        Sabotage::ConfirmationAge,
        Sabotage::Operations,
        Sabotage::ListVersion,
        Sabotage::RefuseQueued,
        Sabotage::AwaitWork,
    ] {
        harness::assert_detected::<DrainSimulation>(FUZZ, disabled);
    }
}
