//! Work that won't be reached in time because of what goes before it.
//!
//! Answers overload that lasts for seconds: late work goes last, so it would wait until its deadline
//! passes, while its inputs take up room. Its request is refused as soon as that is certain.

use crate::batching::{Batcher, GroupKey};

/// Part of the time of the work ahead that counts as certain; some of that work may be given up.
const CERTAIN_PART: f64 = 0.8;

impl Batcher {
    /// Returns the groups without a call that can't be made in time after all that goes before them.
    pub(super) fn unreachable(&self, upstreams: usize, now_ms: u64) -> Vec<GroupKey> {
        let batch = self.service.batch.max(1);
        let pieces_at_once = batch * upstreams.max(1) * self.service.slots.max(1) as usize;
        let mut unreachable = Vec::new();
        if self.waiting() <= pieces_at_once {
            return unreachable;
        }
        let round_ms = self.duration_ms(batch) * CERTAIN_PART;
        let mut ahead = 0;
        for (_, key) in self.order(now_ms) {
            let Some(group) = self.groups.get(key) else { continue };
            let rounds = (ahead / pieces_at_once) as f64;
            let end_ms = now_ms as f64 + rounds * round_ms + self.duration_ms(1);
            if group.is_untouched() && end_ms > group.work.deadline_ms as f64 {
                unreachable.push(key);
                continue;
            }
            ahead += group.waiting.len();
        }
        unreachable
    }
}
