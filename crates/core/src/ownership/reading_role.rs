//! Whether an entry reads the platform now, follows another entry, or only checks the platform.
//!
//! An entry that has to follow others and finds none that follows the platform must not wait for long,
//! since configurations have to take effect within seconds. Yet all entries are in that position at once
//! while the platform is away, so each of them first checks, after a delay of its own, whether the
//! platform responds to it.

/// Time after the start within which an entry waits for one that it can follow, in milliseconds.
const START_GRACE_MS: u64 = 1_000;
/// Longest delay before an entry without a source checks the platform, in milliseconds.
const MAX_CHECK_DELAY_MS: u64 = 400;

/// How an entry keeps its lists up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadingRole {
    /// It has just started and reads only the list of entries.
    #[default]
    Starts,
    /// It reads the platform.
    Reads,
    /// It follows another entry.
    Follows,
    /// It waits for an entry to follow.
    Waits,
    /// It checks whether the platform responds before it reads, and waits for an entry to follow.
    Checks,
}

/// What the role depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleInputs {
    /// Whether the other entries are known.
    pub has_entries: bool,
    /// Whether this entry is one of the readers of its data centre.
    pub is_reader: bool,
    /// Whether this entry follows one that follows the platform.
    pub has_source: bool,
    /// Whether an entry that it could follow responds, although it does not follow the platform.
    pub has_detached_source: bool,
    /// Whether the platform has responded to a check since this entry lost its source.
    pub does_platform_respond: bool,
}

/// Decides on the role of one entry.
#[derive(Clone, Copy, Debug)]
pub struct RoleDecision {
    role: ReadingRole,
    started_ms: u64,
    /// Time since which the entry has no source, in milliseconds.
    alone_since_ms: Option<u64>,
    check_delay_ms: u64,
}

impl RoleDecision {
    /// Creates the state of an entry that starts; `spread` is a number that differs between entries.
    pub fn new(now_ms: u64, spread: u64) -> Self {
        Self {
            role: ReadingRole::Starts,
            started_ms: now_ms,
            alone_since_ms: None,
            check_delay_ms: spread % (MAX_CHECK_DELAY_MS + 1),
        }
    }

    /// Returns the current role.
    pub fn role(&self) -> ReadingRole {
        self.role
    }

    /// Decides again; returns whether the role has changed.
    pub fn update(&mut self, inputs: RoleInputs, now_ms: u64) -> bool {
        let role = self.decide(inputs, now_ms);
        std::mem::replace(&mut self.role, role) != role
    }

    fn decide(&mut self, inputs: RoleInputs, now_ms: u64) -> ReadingRole {
        let is_starting = now_ms < self.started_ms + START_GRACE_MS;
        if !inputs.has_entries && is_starting {
            return ReadingRole::Starts;
        }
        if inputs.has_source && !inputs.is_reader {
            self.alone_since_ms = None;
            return ReadingRole::Follows;
        }
        let is_platform_doubtful = inputs.has_detached_source && !inputs.does_platform_respond;
        if inputs.is_reader || !inputs.has_entries {
            self.alone_since_ms = None;
            let takes_over = is_platform_doubtful && self.role != ReadingRole::Reads;
            return if takes_over { ReadingRole::Checks } else { ReadingRole::Reads };
        }
        let alone_since_ms = *self.alone_since_ms.get_or_insert(now_ms);
        if is_starting && self.role == ReadingRole::Starts {
            return ReadingRole::Starts;
        }
        if !is_platform_doubtful {
            return ReadingRole::Reads;
        }
        if now_ms < alone_since_ms + self.check_delay_ms {
            return ReadingRole::Waits;
        }
        ReadingRole::Checks
    }
}

#[cfg(test)]
mod tests;
