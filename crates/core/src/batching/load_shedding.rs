//! Load shedding: rejects work that the queue ahead of it keeps from meeting its deadline.
//!
//! Late work goes last, so in an overload of several seconds it would wait until its deadline passes
//! while its inputs take up memory. It is rejected as soon as that is certain.

use crate::batching::{Batcher, GroupKey};

/// Fraction of the duration of the work ahead that is counted; some of that work may be cancelled.
const CERTAIN_FRACTION: f64 = 0.8;

impl Batcher {
    /// Returns the groups without a started piece that miss their deadline because of the work ahead
    /// of them in the queue.
    pub(super) fn groups_to_shed(&self, upstreams: usize, now_ms: u64) -> Vec<GroupKey> {
        let batch = self.service.batch.max(1);
        let pieces_at_once = batch * upstreams.max(1) * self.service.slots.max(1) as usize;
        let mut shed = Vec::new();
        if self.waiting() <= pieces_at_once {
            return shed;
        }
        let round_ms = self.duration_ms(batch) * CERTAIN_FRACTION;
        let mut pieces_ahead = 0;
        for (_, key) in self.ordered_groups(now_ms) {
            let Some(group) = self.groups.get(key) else { continue };
            let rounds = (pieces_ahead / pieces_at_once) as f64;
            let end_ms = now_ms as f64 + rounds * round_ms + self.duration_ms(1);
            if group.is_unstarted() && end_ms > group.work.deadline_ms as f64 {
                shed.push(key);
                continue;
            }
            pieces_ahead += group.waiting.len();
        }
        shed
    }
}
