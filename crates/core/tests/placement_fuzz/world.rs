//! Platform, holders, agents and engines of one case.

use yuccatrail_core::placement::{
    FenceGuard, FencingNumber, HolderToken, Lease, LeaseAction, LeaseEvent, LeaseKeeper,
    LeaseSettings, Sabotage,
};

use crate::harness::sabotage;

pub(crate) const HOLDERS: usize = 2;
pub(crate) const AGENTS: usize = 2;
/// Time for which an order may stay on its way to an engine.
const LINGER_MS: u64 = 400;
const SETTINGS: LeaseSettings =
    LeaseSettings { duration_ms: 1_000, margin_ms: 200, interval_ms: 250 };

/// What becomes of a call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    AnswerLostAfterEffect,
    EffectDelayed,
}

pub(crate) struct LeaseWorld {
    off: Option<Sabotage>,
    now_ms: u64,
    has_clock_jumped: bool,
    pub(crate) is_up: bool,
    lease: Option<(u64, Lease)>,
    late: Vec<(Option<u64>, Lease)>,
    pub(crate) holders: Vec<Holder>,
    agents: Vec<Agent>,
    orders: Vec<Order>,
    next_token: u128,
}

pub(crate) struct Holder {
    keeper: LeaseKeeper,
    phase: Phase,
    token: HolderToken,
    clock_offset_ms: u64,
    pub(crate) is_frozen: bool,
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
    /// Whether the order under way was sent by this run of the agent.
    is_awaiting: bool,
    /// Orders on their way to the engine, with the time at which they are dropped at the latest.
    on_the_way: Vec<(u64, Order)>,
    /// Whether the engine refuses old numbers itself.
    is_checked: bool,
    executed: Vec<Order>,
}

/// An order in the name of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    fence: FencingNumber,
    holder: HolderToken,
}

impl LeaseWorld {
    pub(crate) fn start(off: Option<Sabotage>) -> Self {
        let mut world = Self {
            off,
            now_ms: 0,
            has_clock_jumped: false,
            is_up: true,
            lease: None,
            late: vec![],
            holders: vec![],
            agents: vec![],
            orders: vec![],
            next_token: 0,
        };
        for _ in 0..HOLDERS {
            let holder = world.holder();
            world.holders.push(holder);
        }
        for index in 0..AGENTS {
            let is_checked = index == 0;
            let guard = world.guard(is_checked);
            let (on_the_way, executed, is_awaiting) = (vec![], vec![], false);
            world.agents.push(Agent { guard, is_awaiting, on_the_way, is_checked, executed });
        }
        world
    }

    fn holder(&mut self) -> Holder {
        self.next_token += 1;
        let token = HolderToken(self.next_token);
        let mut keeper = LeaseKeeper::new(SETTINGS, token);
        sabotage!(keeper, self.off);
        let clock_offset_ms = 17 * self.next_token as u64;
        Holder { keeper, phase: Phase::Idle, token, clock_offset_ms, is_frozen: false }
    }

    fn guard(&self, is_checked: bool) -> FenceGuard {
        let settle_ms = if is_checked { 0 } else { LINGER_MS };
        let mut guard = FenceGuard::new(self.now_ms, settle_ms);
        sabotage!(guard, self.off);
        guard
    }

    pub(crate) fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        for agent in &mut self.agents {
            let now_ms = self.now_ms;
            agent.on_the_way.retain(|(dropped_ms, _)| *dropped_ms > now_ms);
        }
        self.check_one_holder();
    }

    pub(crate) fn jump_clock(&mut self, holder: usize, by_ms: u64) {
        self.has_clock_jumped = true;
        self.holders[holder].clock_offset_ms += by_ms;
    }

    /// Takes a holder's call to the platform one phase further.
    pub(crate) fn drive(&mut self, index: usize, fate: Fate) {
        let now_ms = self.now_ms + self.holders[index].clock_offset_ms;
        let phase = self.holders[index].phase;
        let next = match phase {
            Phase::Called(action) => Phase::Answered(self.call(action, fate)),
            _ if self.holders[index].is_frozen => return,
            Phase::Idle => match self.holders[index].keeper.tick(now_ms) {
                LeaseAction::Wait { .. } => Phase::Idle,
                action => Phase::Called(action),
            },
            Phase::Answered(event) => {
                self.holders[index].keeper.handle(now_ms, event);
                Phase::Idle
            }
        };
        self.holders[index].phase = next;
        self.check_one_holder();
    }

    /// Lets one holder go on while the other stands still.
    pub(crate) fn run_alone(&mut self, index: usize, rounds: u64) {
        for _ in 0..rounds {
            self.drive(index, Fate::Answered);
            self.advance(50);
        }
    }

    fn call(&mut self, action: LeaseAction, fate: Fate) -> LeaseEvent {
        match (action, fate) {
            (LeaseAction::Wait { .. }, _) => unreachable!("waiting is no call"),
            (LeaseAction::Read, Fate::Answered) if self.is_up => match self.lease {
                Some((revision, lease)) => LeaseEvent::Read { revision, lease },
                None => LeaseEvent::Missing,
            },
            (LeaseAction::Read, _) => LeaseEvent::ReadFailed,
            (LeaseAction::Write { if_revision, lease }, Fate::EffectDelayed) => {
                self.late.push((if_revision, lease));
                LeaseEvent::AnswerLost
            }
            _ if !self.is_up => LeaseEvent::AnswerLost,
            (LeaseAction::Write { if_revision, lease }, fate) => {
                let revision = self.write(if_revision, lease);
                match (fate, revision) {
                    (Fate::Answered, Some(revision)) => LeaseEvent::Written { revision },
                    (Fate::Answered, None) => LeaseEvent::Conflict,
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

    /// Lets a write whose answer was lost take effect late.
    pub(crate) fn land(&mut self, index: usize) {
        if index < self.late.len() {
            let (if_revision, lease) = self.late.remove(index);
            self.write(if_revision, lease);
        }
    }

    pub(crate) fn restart_holder(&mut self, index: usize, is_closed: bool) {
        let holder = self.holder();
        let stopped = std::mem::replace(&mut self.holders[index], holder);
        if let Some(LeaseAction::Write { if_revision, lease }) = stopped.keeper.close()
            && is_closed
        {
            self.late.push((if_revision, lease));
        }
    }

    /// Lets a holder that may act send an order.
    pub(crate) fn order(&mut self, index: usize) {
        let holder = &self.holders[index];
        if holder.is_frozen {
            return;
        }
        if let Some(fence) = holder.keeper.may_act(self.now_ms + holder.clock_offset_ms) {
            self.orders.push(Order { fence, holder: holder.token });
        }
    }

    /// Lets an agent take any order sent so far, also one that it took before.
    pub(crate) fn take_order(&mut self, agent: usize, order: usize) {
        if self.orders.is_empty() {
            return;
        }
        let order = self.orders[order % self.orders.len()];
        let agent = &mut self.agents[agent];
        if agent.guard.begin(self.now_ms, order.fence).is_ok() {
            agent.is_awaiting = true;
            agent.on_the_way.push((self.now_ms + LINGER_MS, order));
        }
    }

    /// Lets an order arrive at the engine; `back` counts from the one that was sent last.
    pub(crate) fn execute(&mut self, agent: usize, back: usize, is_answered: bool) {
        let agent = &mut self.agents[agent];
        let Some(last) = agent.on_the_way.len().checked_sub(1) else {
            return;
        };
        let (_, order) = agent.on_the_way.remove(last.saturating_sub(back));
        let highest = agent.executed.last().map(|it| it.fence).unwrap_or_default();
        if !agent.is_checked || order.fence >= highest {
            assert!(order.fence >= highest, "an engine executes an old order");
            let is_stolen = |it: &Order| it.fence == order.fence && it.holder != order.holder;
            assert!(!agent.executed.iter().any(is_stolen), "two holders share a number");
            agent.executed.push(order);
        }
        if is_answered && agent.is_awaiting && agent.on_the_way.is_empty() {
            agent.is_awaiting = false;
            agent.guard.end(self.now_ms, true);
        }
    }

    /// Lets an agent give up waiting for the engine's answer.
    pub(crate) fn time_out(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        if agent.is_awaiting {
            agent.is_awaiting = false;
            agent.guard.end(self.now_ms, false);
        }
    }

    pub(crate) fn restart_agent(&mut self, index: usize) {
        let guard = self.guard(self.agents[index].is_checked);
        self.agents[index].guard = guard;
        self.agents[index].is_awaiting = false;
    }

    /// Lets an agent read the number in force.
    pub(crate) fn learn(&mut self, agent: usize) {
        if self.is_up {
            let fence = self.lease.map(|(_, lease)| lease.fence).unwrap_or_default();
            self.agents[agent].guard.learn(fence);
        }
    }

    /// Checks that at most one process believes that it holds the lease.
    pub(crate) fn check_one_holder(&self) {
        // A holder that is ahead of time is harmless to the engines, but not alone.
        if self.has_clock_jumped {
            return;
        }
        let mut acting = 0;
        for holder in &self.holders {
            let now_ms = self.now_ms + holder.clock_offset_ms;
            acting += u32::from(holder.keeper.may_act(now_ms).is_some());
        }
        assert!(acting <= 1, "two holders may act at the same time");
    }

    /// Heals everything and checks that orders are executed again.
    pub(crate) fn heal(mut self) {
        self.is_up = true;
        for holder in &mut self.holders {
            holder.is_frozen = false;
        }
        for _ in 0..100 {
            for holder in 0..HOLDERS {
                self.drive(holder, Fate::Answered);
            }
            self.advance(50);
        }
        let sent = self.orders.len();
        for holder in 0..HOLDERS {
            self.order(holder);
        }
        assert!(self.orders.len() > sent, "nobody may act");
        let order = self.orders[sent];
        for agent in 0..AGENTS {
            self.time_out(agent);
            self.learn(agent);
        }
        self.advance(LINGER_MS);
        for agent in 0..AGENTS {
            self.take_order(agent, sent);
            self.execute(agent, 0, true);
            assert_eq!(self.agents[agent].executed.last(), Some(&order), "an order is stuck");
        }
    }
}
