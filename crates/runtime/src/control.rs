//! Control state of the process, shared by its tasks.

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

/// Shared control state that notifies its subscribers of changes and tracks its age.
#[derive(Debug)]
pub struct SharedControl {
    state: Mutex<ControlState>,
    config_freshness: Mutex<Freshness>,
    operations_freshness: Mutex<Freshness>,
    changed: watch::Sender<Versions>,
}

impl SharedControl {
    /// Creates the state of a process that has just started and holds no control state.
    pub fn new() -> Self {
        let (changed, _) = watch::channel(Versions::default());
        Self {
            state: Mutex::new(ControlState::new()),
            config_freshness: new_freshness(),
            operations_freshness: new_freshness(),
            changed,
        }
    }

    /// Returns the versions of the control state that the process holds.
    pub fn versions(&self) -> Versions {
        self.lock().versions()
    }

    /// Returns the environment document that requests are served by.
    ///
    /// # Errors
    ///
    /// Returns the reason for which all requests are refused while a part of the control state is
    /// missing.
    pub fn serving_document(&self) -> Result<Arc<Document>, Reason> {
        self.lock().serving_document().cloned()
    }

    /// Returns the current operational state; `None` until the process has received one.
    pub fn operations(&self) -> Option<Arc<OperationsRecord>> {
        self.lock().operations().cloned()
    }

    /// Returns the control state that is newer than `versions`, which a peer holds.
    pub fn update_for(&self, versions: Versions) -> ControlUpdate {
        self.lock().update_for(versions)
    }

    /// Adopts the parts of `update` that are newer; `source` names the sender in the log.
    pub fn adopt(&self, update: ControlUpdate, source: &str) {
        if update.is_empty() {
            return;
        }
        let mut state = self.lock();
        let adopted = state.adopt(update);
        let versions = state.versions();
        drop(state);
        log_adoption("config", &adopted.config, source);
        log_adoption("operations", &adopted.operations, source);
        if adopted.is_changed() {
            self.changed.send_replace(versions);
        }
    }

    /// Records the ages in a reply to a request that was sent at `sent_ms`.
    ///
    /// The process has to hold everything that the sender of the reply holds.
    pub fn confirm(&self, sent_ms: u64, ages: Ages) {
        if let Some(age_ms) = ages.config_ms {
            lock(&self.config_freshness).confirm(sent_ms, age_ms);
        }
        if let Some(age_ms) = ages.operations_ms {
            lock(&self.operations_freshness).confirm(sent_ms, age_ms);
        }
    }

    /// Returns upper bounds on the age of the control state.
    pub fn ages(&self, now_ms: u64) -> Ages {
        Ages {
            config_ms: lock(&self.config_freshness).age_ms(now_ms),
            operations_ms: lock(&self.operations_freshness).age_ms(now_ms),
        }
    }

    /// Calls `read` with the state, which is locked meanwhile; `read` must not block.
    pub fn with<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.lock())
    }

    /// Returns a receiver that is notified when the versions change.
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

fn log_adoption(part: &str, adoption: &Adoption, source: &str) {
    if adoption.is_error() {
        error!(part = part, source = source; "control state rejected: {adoption:?}");
        return;
    }
    if let Adoption::Adopted { version } = adoption {
        info!(part = part, version = version, source = source; "control state adopted");
    }
}
