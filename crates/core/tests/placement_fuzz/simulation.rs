//! Simulated platform, lease holders, agents and upstreams of one test case.

use yuccatrail_core::placement::{
    FenceGuard, FencingToken, HolderId, Lease, LeaseAction, LeaseEvent, LeaseManager,
    LeaseSettings, Sabotage,
};

use crate::harness::sabotage;

pub(crate) const HOLDERS: usize = 2;
pub(crate) const AGENTS: usize = 2;
/// Maximum time for which a command may stay in transit to an upstream, in milliseconds.
const MAX_TRANSIT_MS: u64 = 400;
const SETTINGS: LeaseSettings =
    LeaseSettings { duration_ms: 1_000, margin_ms: 200, interval_ms: 250 };

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    /// The call takes effect and gets a response.
    Answered,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call gets no response; a write takes effect later.
    EffectDelayed,
}

pub(crate) struct LeaseSimulation {
    disabled: Option<Sabotage>,
    now_ms: u64,
    has_clock_jumped: bool,
    pub(crate) is_platform_up: bool,
    /// Stored lease record with its revision.
    lease: Option<(u64, Lease)>,
    /// Writes that have not taken effect yet, with the revision that they require.
    delayed_writes: Vec<(Option<u64>, Lease)>,
    pub(crate) holders: Vec<Holder>,
    agents: Vec<Agent>,
    commands: Vec<Command>,
    last_holder_id: u128,
}

pub(crate) struct Holder {
    manager: LeaseManager,
    phase: Phase,
    id: HolderId,
    clock_offset_ms: u64,
    pub(crate) is_suspended: bool,
}

/// Progress of a holder's call to the platform.
#[derive(Clone, Copy)]
enum Phase {
    Idle,
    Called(LeaseAction),
    Answered(LeaseEvent),
}

struct Agent {
    guard: FenceGuard,
    /// Whether the current agent process awaits the response to a command.
    is_awaiting: bool,
    /// Commands in transit to the upstream, with the time at which they are dropped at the latest.
    in_transit: Vec<(u64, Command)>,
    /// Whether the upstream itself refuses stale tokens.
    checks_tokens: bool,
    executed: Vec<Command>,
}

/// Command issued by a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Command {
    fence: FencingToken,
    holder: HolderId,
}

impl LeaseSimulation {
    pub(crate) fn start(disabled: Option<Sabotage>) -> Self {
        let mut simulation = Self {
            disabled,
            now_ms: 0,
            has_clock_jumped: false,
            is_platform_up: true,
            lease: None,
            delayed_writes: vec![],
            holders: vec![],
            agents: vec![],
            commands: vec![],
            last_holder_id: 0,
        };
        for _ in 0..HOLDERS {
            let holder = simulation.new_holder();
            simulation.holders.push(holder);
        }
        for index in 0..AGENTS {
            let checks_tokens = index == 0;
            let guard = simulation.new_guard(checks_tokens);
            let (in_transit, executed, is_awaiting) = (vec![], vec![], false);
            simulation.agents.push(Agent {
                guard,
                is_awaiting,
                in_transit,
                checks_tokens,
                executed,
            });
        }
        simulation
    }

    fn new_holder(&mut self) -> Holder {
        self.last_holder_id += 1;
        let id = HolderId(self.last_holder_id);
        let mut manager = LeaseManager::new(SETTINGS, id);
        sabotage!(manager, self.disabled);
        let clock_offset_ms = 17 * self.last_holder_id as u64;
        Holder { manager, phase: Phase::Idle, id, clock_offset_ms, is_suspended: false }
    }

    fn new_guard(&self, checks_tokens: bool) -> FenceGuard {
        let max_transit_ms = if checks_tokens { 0 } else { MAX_TRANSIT_MS };
        let mut guard = FenceGuard::new(self.now_ms, max_transit_ms);
        sabotage!(guard, self.disabled);
        guard
    }

    pub(crate) fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        for agent in &mut self.agents {
            let now_ms = self.now_ms;
            agent.in_transit.retain(|(dropped_ms, _)| *dropped_ms > now_ms);
        }
        self.check_single_holder();
    }

    pub(crate) fn jump_clock(&mut self, holder: usize, by_ms: u64) {
        self.has_clock_jumped = true;
        self.holders[holder].clock_offset_ms += by_ms;
    }

    /// Advances a holder's call to the platform by one phase.
    pub(crate) fn advance_holder(&mut self, index: usize, outcome: CallOutcome) {
        let now_ms = self.now_ms + self.holders[index].clock_offset_ms;
        let phase = self.holders[index].phase;
        let next = match phase {
            Phase::Called(action) => Phase::Answered(self.call(action, outcome)),
            _ if self.holders[index].is_suspended => return,
            Phase::Idle => match self.holders[index].manager.tick(now_ms) {
                LeaseAction::Wait { .. } => Phase::Idle,
                action => Phase::Called(action),
            },
            Phase::Answered(event) => {
                self.holders[index].manager.handle(now_ms, event);
                Phase::Idle
            }
        };
        self.holders[index].phase = next;
        self.check_single_holder();
    }

    /// Advances one holder for `rounds` steps of 50 ms while the other makes no progress.
    pub(crate) fn run_alone(&mut self, index: usize, rounds: u64) {
        for _ in 0..rounds {
            self.advance_holder(index, CallOutcome::Answered);
            self.advance(50);
        }
    }

    fn call(&mut self, action: LeaseAction, outcome: CallOutcome) -> LeaseEvent {
        match (action, outcome) {
            (LeaseAction::Wait { .. }, _) => unreachable!("a wait is not a call to the platform"),
            (LeaseAction::Read, CallOutcome::Answered) if self.is_platform_up => match self.lease {
                Some((revision, lease)) => LeaseEvent::Read { revision, lease },
                None => LeaseEvent::Missing,
            },
            (LeaseAction::Read, _) => LeaseEvent::ReadFailed,
            (LeaseAction::Write { if_revision, lease }, CallOutcome::EffectDelayed) => {
                self.delayed_writes.push((if_revision, lease));
                LeaseEvent::AnswerLost
            }
            _ if !self.is_platform_up => LeaseEvent::AnswerLost,
            (LeaseAction::Write { if_revision, lease }, outcome) => {
                let revision = self.write(if_revision, lease);
                match (outcome, revision) {
                    (CallOutcome::Answered, Some(revision)) => LeaseEvent::Written { revision },
                    (CallOutcome::Answered, None) => LeaseEvent::Conflict,
                    _ => LeaseEvent::AnswerLost,
                }
            }
        }
    }

    fn write(&mut self, if_revision: Option<u64>, lease: Lease) -> Option<u64> {
        if self.lease.map(|it| it.0) != if_revision {
            return None;
        }
        let revision = if_revision.unwrap_or(0) + 1;
        self.lease = Some((revision, lease));
        Some(revision)
    }

    /// Applies a delayed write, which takes effect only if its revision still matches.
    pub(crate) fn apply_delayed_write(&mut self, index: usize) {
        if index < self.delayed_writes.len() {
            let (if_revision, lease) = self.delayed_writes.remove(index);
            self.write(if_revision, lease);
        }
    }

    /// Replaces a holder by a new process; if `is_released`, the old one sends the releasing write.
    pub(crate) fn restart_holder(&mut self, index: usize, is_released: bool) {
        let holder = self.new_holder();
        let stopped = std::mem::replace(&mut self.holders[index], holder);
        if let Some(LeaseAction::Write { if_revision, lease }) = stopped.manager.release()
            && is_released
        {
            self.delayed_writes.push((if_revision, lease));
        }
    }

    /// Issues a command if the holder may act.
    pub(crate) fn issue_command(&mut self, index: usize) {
        let holder = &self.holders[index];
        if holder.is_suspended {
            return;
        }
        if let Some(fence) = holder.manager.valid_token(self.now_ms + holder.clock_offset_ms) {
            self.commands.push(Command { fence, holder: holder.id });
        }
    }

    /// Lets an agent send its upstream any command issued so far, also one that it sent before.
    pub(crate) fn send_command(&mut self, agent: usize, command: usize) {
        if self.commands.is_empty() {
            return;
        }
        let command = self.commands[command % self.commands.len()];
        let agent = &mut self.agents[agent];
        if agent.guard.begin(self.now_ms, command.fence).is_ok() {
            agent.is_awaiting = true;
            agent.in_transit.push((self.now_ms + MAX_TRANSIT_MS, command));
        }
    }

    /// Delivers a command to the upstream; `age` counts back from the one that was sent last.
    pub(crate) fn execute(&mut self, agent: usize, age: usize, is_answered: bool) {
        let agent = &mut self.agents[agent];
        let Some(last) = agent.in_transit.len().checked_sub(1) else {
            return;
        };
        let (_, command) = agent.in_transit.remove(last.saturating_sub(age));
        let highest = agent.executed.last().map(|it| it.fence).unwrap_or_default();
        if !agent.checks_tokens || command.fence >= highest {
            assert!(command.fence >= highest, "an upstream executed a command with a stale token");
            let shares_token =
                |it: &Command| it.fence == command.fence && it.holder != command.holder;
            assert!(!agent.executed.iter().any(shares_token), "two holders share a fencing token");
            agent.executed.push(command);
        }
        if is_answered && agent.is_awaiting && agent.in_transit.is_empty() {
            agent.is_awaiting = false;
            agent.guard.end(self.now_ms, true);
        }
    }

    /// Lets an agent time out while it awaits the response of its upstream.
    pub(crate) fn time_out(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        if agent.is_awaiting {
            agent.is_awaiting = false;
            agent.guard.end(self.now_ms, false);
        }
    }

    pub(crate) fn restart_agent(&mut self, index: usize) {
        let guard = self.new_guard(self.agents[index].checks_tokens);
        self.agents[index].guard = guard;
        self.agents[index].is_awaiting = false;
    }

    /// Lets an agent read the current fencing token from the platform.
    pub(crate) fn read_token(&mut self, agent: usize) {
        if self.is_platform_up {
            let fence = self.lease.map(|(_, lease)| lease.fence).unwrap_or_default();
            self.agents[agent].guard.record_token(fence);
        }
    }

    /// Checks that at most one process may act as holder of the lease.
    pub(crate) fn check_single_holder(&self) {
        // After a clock jump two holders may act at the same time, which fencing makes harmless.
        if self.has_clock_jumped {
            return;
        }
        let mut active_holders = 0;
        for holder in &self.holders {
            let now_ms = self.now_ms + holder.clock_offset_ms;
            active_holders += u32::from(holder.manager.valid_token(now_ms).is_some());
        }
        assert!(active_holders <= 1, "two holders may act at the same time");
    }

    /// Ends all faults and checks that commands are executed again.
    pub(crate) fn recover(mut self) {
        self.is_platform_up = true;
        for holder in &mut self.holders {
            holder.is_suspended = false;
        }
        for _ in 0..100 {
            for holder in 0..HOLDERS {
                self.advance_holder(holder, CallOutcome::Answered);
            }
            self.advance(50);
        }
        let issued = self.commands.len();
        for holder in 0..HOLDERS {
            self.issue_command(holder);
        }
        assert!(self.commands.len() > issued, "no process may act after recovery");
        let command = self.commands[issued];
        for agent in 0..AGENTS {
            self.time_out(agent);
            self.read_token(agent);
        }
        self.advance(MAX_TRANSIT_MS);
        for agent in 0..AGENTS {
            self.send_command(agent, issued);
            self.execute(agent, 0, true);
            assert_eq!(
                self.agents[agent].executed.last(),
                Some(&command),
                "the command was not executed"
            );
        }
    }
}
