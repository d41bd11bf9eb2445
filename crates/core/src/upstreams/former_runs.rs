//! Records of former runs of upstreams that reach the platform late.
//!
//! A write without a response may be executed seconds later, when its upstream has started again under the
//! same identifier. Such a record would replace that of the present run, and with it all that is known
//! of that: that it drains, leaves or rests.
//!
//! The clock of an upstream may be set back before a start, so that its present run looks like a former one.
//! It goes on to write records, though, and no other run writes any in between.

use crate::{FastMap, upstreams::UpstreamRecord};

/// Maximum number of identifiers that are remembered.
const MAX_IGNORED: usize = 4_096;

/// Records of former runs that were ignored.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormerRuns {
    /// Start of the run and number of the record, by identifier.
    ignored: FastMap<String, (i64, u64)>,
}

impl FormerRuns {
    /// Tells whether a record is ignored because a later run of the upstream is known, which began at
    /// `known_unix_ms`.
    pub(crate) fn ignores(&mut self, record: &UpstreamRecord, known_unix_ms: Option<i64>) -> bool {
        let (Some(started), Some(known)) = (record.started_unix_ms, known_unix_ms) else {
            return false;
        };
        let earlier = self.ignored.remove(&record.id);
        if started >= known {
            return false;
        }
        let goes_on =
            earlier.is_some_and(|(run, number)| run == started && record.sequence > number);
        if goes_on {
            return false;
        }
        if self.ignored.len() >= MAX_IGNORED {
            self.ignored.clear();
        }
        self.ignored.insert(record.id.clone(), (started, record.sequence));
        true
    }
}

#[cfg(test)]
mod tests;
