//! State of the upstream in the platform's instance list, as reported by entries.

use yuccatrail_core::membership::InstanceState;

/// Time for which the upstream counts as leaving after the last report of any entry that it is
/// leaving, in milliseconds.
///
/// It covers several heartbeats. Entries read the list at different times, so a report that the
/// upstream is leaving overrides reports of other entries that it is live.
const LEAVING_TTL_MS: u64 = 25_000;

/// State of the upstream in the instance list, merged from the reports of all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListedState {
    /// Number of state changes so far.
    version: u64,
    /// Time until which the upstream counts as leaving, in milliseconds; `None` if it is live.
    leaving_until_ms: Option<u64>,
}

impl ListedState {
    /// Applies the report of an entry; returns the new version and state if the state has changed.
    pub(crate) fn on_report(
        &mut self,
        is_leaving: bool,
        now_ms: u64,
    ) -> Option<(u64, InstanceState)> {
        if !is_leaving {
            return self.tick(now_ms);
        }
        let has_changed = self.leaving_until_ms.is_none();
        self.leaving_until_ms = Some(now_ms.saturating_add(LEAVING_TTL_MS));
        has_changed.then(|| self.change(InstanceState::Leaving))
    }

    /// Expires old reports; returns the new version and state if the state has changed.
    pub(crate) fn tick(&mut self, now_ms: u64) -> Option<(u64, InstanceState)> {
        if self.leaving_until_ms.is_none_or(|it| now_ms <= it) {
            return None;
        }
        self.leaving_until_ms = None;
        Some(self.change(InstanceState::Live))
    }

    fn change(&mut self, state: InstanceState) -> (u64, InstanceState) {
        self.version += 1;
        (self.version, state)
    }
}
