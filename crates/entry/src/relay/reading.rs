//! Whether this entry reads the platform itself or follows another entry.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, Ordering},
};

use log::info;
use yuccatrail_core::ownership::{ReadingRole, RoleDecision, RoleInputs};

use crate::relay::state::{Relay, lock};

/// Current role of this entry, and what it depends on.
#[derive(Debug)]
pub(crate) struct Reading {
    decision: Mutex<RoleDecision>,
    has_source: AtomicBool,
    does_platform_respond: AtomicBool,
}

impl Reading {
    /// Creates the state of an entry that starts.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            decision: Mutex::new(RoleDecision::new(now_ms, rand::random())),
            has_source: AtomicBool::new(false),
            does_platform_respond: AtomicBool::new(false),
        }
    }

    /// Returns the current role.
    pub(crate) fn role(&self) -> ReadingRole {
        lock(&self.decision).role()
    }

    /// Records whether this entry follows one that follows the platform.
    pub(crate) fn set_has_source(&self, relay: &Relay, has_source: bool) {
        if self.has_source.swap(has_source, Ordering::Relaxed) != has_source {
            self.update(relay);
        }
    }

    /// Tells whether this entry follows one that follows the platform.
    pub(crate) fn has_source(&self) -> bool {
        self.has_source.load(Ordering::Relaxed)
    }

    /// Records that the platform has responded to a check.
    pub(crate) fn record_platform_response(&self) {
        self.does_platform_respond.store(true, Ordering::Relaxed);
    }

    /// Decides on the role again, and tells the feeds if it has changed.
    pub(crate) fn update(&self, relay: &Relay) {
        let (is_reader, has_detached_source) = relay.peers.reading_state();
        let inputs = RoleInputs {
            has_entries: relay.upstreams().has_entries(),
            is_reader,
            has_source: self.has_source(),
            has_detached_source,
            does_platform_respond: self.does_platform_respond.load(Ordering::Relaxed),
        };
        let role = {
            let mut decision = lock(&self.decision);
            if !decision.update(inputs, relay.now_ms()) {
                return;
            }
            decision.role()
        };
        if matches!(role, ReadingRole::Follows | ReadingRole::Waits) {
            self.does_platform_respond.store(false, Ordering::Relaxed);
        }
        let sources = relay.peers.reader_plan().sources;
        info!(role:? = role, is_reader, sources:? = sources; "reading role changed");
        relay.set_role(role);
    }
}

/// Tells whether an entry of the given role reads the list of entries.
pub(crate) fn reads_entries(role: ReadingRole) -> bool {
    matches!(role, ReadingRole::Starts | ReadingRole::Reads)
}

/// Tells whether an entry of the given role reads the configuration and the other lists.
pub(crate) fn reads_lists(role: ReadingRole) -> bool {
    role == ReadingRole::Reads
}

/// Tells whether an entry of the given role checks whether the platform responds.
pub(crate) fn checks_platform(role: ReadingRole) -> bool {
    matches!(role, ReadingRole::Reads | ReadingRole::Checks)
}
