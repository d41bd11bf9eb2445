//! Release of inputs before the calls that read them have finished.
//!
//! An upstream reads the inputs of a call within milliseconds and then works for hundreds. Under high
//! load the memory for results is the bottleneck, and an early release lets the upstreams that hold
//! the inputs fill their next calls sooner.

use crate::{
    batching::{Batcher, CallKey, GroupKey, PieceSource, batcher::Call},
    stage_graph::ResultHandle,
};

impl Batcher {
    /// Tells whether more pieces wait than one call takes, so that freeing memory early pays off.
    pub fn has_backlog(&self) -> bool {
        self.waiting() > self.service.batch
    }

    /// Marks the inputs of a call as read by its upstream, and returns those that may be released.
    ///
    /// These are the inputs of groups that nobody else reads and whose pieces have all been read by a
    /// call or are done, if `needs_memory` holds for at least one input of the group. Releasing them
    /// frees memory at the upstreams that hold them before the call ends. If the call fails, its
    /// groups end as `InputGone`.
    pub fn release_inputs(
        &mut self,
        key: CallKey,
        needs_memory: impl Fn(&ResultHandle) -> bool,
    ) -> Vec<ResultHandle> {
        let Some(call) = self.calls.get_mut(key) else { return Vec::new() };
        if call.is_overdue {
            return Vec::new();
        }
        call.has_read_inputs = true;
        let mut groups: Vec<GroupKey> = call.pieces.iter().map(|it| it.0).collect();
        groups.dedup();
        let mut handles = Vec::new();
        for key in groups {
            let is_done_reading =
                |it: &Call| it.has_read_inputs || it.pieces.iter().all(|(group, _)| *group != key);
            if !self.calls.values().all(is_done_reading) {
                continue;
            }
            let Some(group) = self.groups.get_mut(key) else { continue };
            let PieceSource::Inputs(inputs) = &group.work.source else { continue };
            let is_not_releasable = !group.waiting.is_empty() || group.has_released_inputs;
            if is_not_releasable || !group.work.is_only_reader || !inputs.iter().any(&needs_memory)
            {
                continue;
            }
            group.has_released_inputs = true;
            handles.extend(inputs.iter().cloned());
        }
        handles
    }
}
