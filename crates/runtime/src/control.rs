//! The process's one copy of the control state, shared by its tasks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{error, info};
use tokio::sync::watch;
use yuccatrail_core::{
    control::{Adoption, ControlState, ControlUpdate, OperationsRecord, Versions},
    document::Document,
    drain::{Freshness, FreshnessSettings},
    outcome::Reason,
};
use yuccatrail_rpc::messages::Ages;

/// Control state with notification of changes.
#[derive(Debug)]
pub struct SharedControl {
    state: Mutex<ControlState>,
    config_freshness: Mutex<Freshness>,
    operations_freshness: Mutex<Freshness>,
    changed: watch::Sender<Versions>,
}

impl SharedControl {
    /// Creates the state of a process that has just started and holds nothing.
    pub fn new() -> Self {
        let (changed, _) = watch::channel(Versions::default());
        Self {
            state: Mutex::new(ControlState::new()),
            config_freshness: new_freshness(),
            operations_freshness: new_freshness(),
            changed,
        }
    }

    /// Returns the versions that the process holds.
    pub fn versions(&self) -> Versions {
        self.lock().versions()
    }

    /// Returns the document to serve by.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse every request while the process lacks a part of the state.
    pub fn serving_document(&self) -> Result<Arc<Document>, Reason> {
        self.lock().serving_document().cloned()
    }

    /// Returns the operational state in force.
    pub fn operations(&self) -> Option<Arc<OperationsRecord>> {
        self.lock().operations().cloned()
    }

    /// Collects what a peer that holds `versions` lacks.
    pub fn update_for(&self, versions: Versions) -> ControlUpdate {
        self.lock().update_for(versions)
    }

    /// Takes over what is newer in `update`; `source` names the sender in the log.
    pub fn adopt(&self, update: ControlUpdate, source: &str) {
        if update.is_empty() {
            return;
        }
        let mut state = self.lock();
        let adopted = state.adopt(update);
        let versions = state.versions();
        drop(state);
        report("config", &adopted.config, source);
        report("operations", &adopted.operations, source);
        if adopted.is_changed() {
            self.changed.send_replace(versions);
        }
    }

    /// Notes an answer to a question that was sent at `sent_ms`, with the ages that it states.
    ///
    /// The process has to hold everything that the answering side holds.
    pub fn confirm(&self, sent_ms: u64, ages: Ages) {
        if let Some(age_ms) = ages.config_ms {
            lock(&self.config_freshness).confirm(sent_ms, age_ms);
        }
        if let Some(age_ms) = ages.operations_ms {
            lock(&self.operations_freshness).confirm(sent_ms, age_ms);
        }
    }

    /// Returns the ages of the control state.
    pub fn ages(&self, now_ms: u64) -> Ages {
        Ages {
            config_ms: lock(&self.config_freshness).age_ms(now_ms),
            operations_ms: lock(&self.operations_freshness).age_ms(now_ms),
        }
    }

    /// Passes the state to `read`, which must not block.
    pub fn with<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.lock())
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Versions> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, ControlState> {
        lock(&self.state)
    }
}

fn new_freshness() -> Mutex<Freshness> {
    Mutex::new(Freshness::new(FreshnessSettings::default(), 0))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Default for SharedControl {
    fn default() -> Self {
        Self::new()
    }
}

fn report(part: &str, adoption: &Adoption, source: &str) {
    if adoption.is_error() {
        error!(part = part, source = source; "control state refused: {adoption:?}");
        return;
    }
    if let Adoption::Adopted { version } = adoption {
        info!(part = part, version = version, source = source; "control state in force");
    }
}
