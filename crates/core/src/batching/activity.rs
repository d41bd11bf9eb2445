//! Counts of what happened to queued work, for logs.

use std::mem;

use crate::batching::Batcher;

/// What happened to the work of one stage service since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// Results that a request waited for.
    pub completed: u64,
    /// Results that nobody waited for any more.
    pub unused: u64,
    /// Pieces that found no memory for their results.
    pub no_room: u64,
    /// Stages that ended because an input no longer existed.
    pub inputs_gone: u64,
    /// Stages that ended because their deadline was too near for one more call.
    pub expired: u64,
    /// Stages that ended because the work ahead of them left too little time.
    pub shed: u64,
    /// Pieces whose deadline had passed at the upstream.
    pub late_at_upstream: u64,
    /// Stages that were cancelled before they ended.
    pub cancelled: u64,
    /// Plans of a call that had to order the queue.
    pub ordered_plans: u64,
}

/// Length of the queue of one stage service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Stages with waiting pieces.
    pub stages: usize,
    /// Those of them that can't finish by their soft deadline.
    pub late_stages: usize,
    /// Waiting pieces.
    pub pieces: usize,
    /// Calls in progress.
    pub calls: usize,
}

impl Batcher {
    /// Returns the counts since the last call of this function.
    pub fn take_activity(&mut self) -> Activity {
        mem::take(&mut self.activity)
    }

    /// Returns the current length of the queue.
    pub fn backlog(&self, now_ms: u64) -> Backlog {
        let call_ms = self.duration_ms(1);
        let mut backlog = Backlog { calls: self.calls.len(), ..Backlog::default() };
        for group in self.groups.values() {
            if group.waiting.is_empty() {
                continue;
            }
            backlog.stages += 1;
            backlog.late_stages += usize::from(group.work.is_late(now_ms, call_ms));
            backlog.pieces += group.waiting.len();
        }
        backlog
    }
}
