//! Inputs that are let go before their readers have finished.
//!
//! An upstream reads the inputs of a call within milliseconds and works for hundreds. Where the room
//! for results binds, as on days of high load, their makers can fill their next calls sooner.

use crate::{
    batching::{Batcher, CallKey, GroupKey, PieceSource, batcher::Call},
    stage_graph::ResultHandle,
};

impl Batcher {
    /// Tells whether more pieces wait than one call takes, so that room is worth having soon.
    pub fn has_backlog(&self) -> bool {
        self.waiting() > self.service.batch
    }

    /// Notes that the upstream of a call has had the time to read its inputs, and returns those that
    /// nobody else reads and that `is_wanted_back` selects.
    ///
    /// They may be released, which makes room at their makers before the call ends. If the call
    /// fails, its stages end as `InputGone`.
    pub fn release_inputs(
        &mut self,
        key: CallKey,
        is_wanted_back: impl Fn(&ResultHandle) -> bool,
    ) -> Vec<ResultHandle> {
        let Some(call) = self.calls.get_mut(key) else { return Vec::new() };
        if call.is_overdue {
            return Vec::new();
        }
        call.has_read = true;
        let mut groups: Vec<GroupKey> = call.pieces.iter().map(|it| it.0).collect();
        groups.dedup();
        let mut handles = Vec::new();
        for key in groups {
            let is_read =
                |it: &Call| it.has_read || it.pieces.iter().all(|(group, _)| *group != key);
            if !self.calls.values().all(is_read) {
                continue;
            }
            let Some(group) = self.groups.get_mut(key) else { continue };
            let PieceSource::Inputs(inputs) = &group.work.source else { continue };
            let is_open = !group.waiting.is_empty() || group.has_released_inputs;
            if is_open || !group.work.is_only_reader || !inputs.iter().any(&is_wanted_back) {
                continue;
            }
            group.has_released_inputs = true;
            handles.extend(inputs.iter().cloned());
        }
        handles
    }
}
