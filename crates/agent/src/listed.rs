//! State of the upstream in the platform's instance list, as entries pass it on.

use yuccatrail_core::membership::InstanceState;

/// Time after the last word of any entry for which the upstream counts as leaving, in milliseconds.
///
/// It covers several heartbeats. Entries read the list at different times, so the word that the
/// upstream leaves outweighs the word of others that it is live.
const LEAVING_LIFETIME_MS: u64 = 25_000;

/// State of the upstream in the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Listed {
    /// Number of changes so far.
    version: u64,
    leaving_until_ms: Option<u64>,
}

impl Listed {
    /// Takes the word of an entry; returns the new version and state if they change.
    pub(crate) fn hear(&mut self, is_leaving: bool, now_ms: u64) -> Option<(u64, InstanceState)> {
        if !is_leaving {
            return self.tick(now_ms);
        }
        let is_new = self.leaving_until_ms.is_none();
        self.leaving_until_ms = Some(now_ms.saturating_add(LEAVING_LIFETIME_MS));
        is_new.then(|| self.change(InstanceState::Leaving))
    }

    /// Notes that time has passed; returns the new version and state if they change.
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
