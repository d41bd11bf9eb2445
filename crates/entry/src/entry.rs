//! State shared by all requests of the entry.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use yuccatrail_core::{
    attempt::RetryBudget, control::Versions, document::Document, ids::Incarnation, outcome::Reason,
};
use yuccatrail_platform::Client;
use yuccatrail_runtime::{clock::Clock, control::SharedControl, request_body::RequestBodies};

use crate::{fleet::Fleet, metrics::Metrics, policy::Policy, settings::Settings, strikes::Strikes};

/// Maximum number of unused retries kept in the retry budget.
const MAX_SAVED_RETRIES: u32 = 10;

/// The running entry.
pub(crate) struct Entry {
    /// Name of the instance in the instance list.
    pub(crate) name: String,
    /// Data centre of the instance.
    pub(crate) data_centre: String,
    /// Identifier of this run of the process, chosen at random.
    pub(crate) incarnation: Incarnation,
    /// Monotonic clock of the process.
    pub(crate) clock: Clock,
    /// Environment document and operational state in force.
    pub(crate) control: Arc<SharedControl>,
    /// Strikes against requests that were in progress when an upstream crashed.
    pub(crate) strikes: Arc<Strikes>,
    /// Known upstreams and the connections to their agents.
    pub(crate) fleet: Arc<Fleet>,
    /// Client of the platform's object API.
    pub(crate) platform: Client,
    /// Admission and run time estimates.
    pub(crate) policy: Policy,
    /// Metrics of the entry.
    pub(crate) metrics: Metrics,
    /// Bodies of callers' requests.
    pub(crate) request_bodies: Arc<RequestBodies>,
    retry_budget: Mutex<RetryBudget>,
    is_stopping: AtomicBool,
    in_progress: Arc<AtomicU32>,
    open_claims: Arc<AtomicU32>,
}

impl Entry {
    /// Creates an entry without configuration and upstreams.
    pub(crate) fn new(settings: &Settings, platform: Client, metrics: Metrics) -> Arc<Self> {
        let clock = Clock::new();
        let incarnation = Incarnation(rand::random());
        let control = Arc::new(SharedControl::new());
        let strikes = Strikes::new();
        let fleet = Fleet::new(
            clock,
            incarnation,
            settings.name.clone(),
            settings.data_centre.clone(),
            control.clone(),
            strikes.clone(),
        );
        Arc::new(Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            clock,
            control,
            strikes,
            fleet,
            platform,
            policy: Policy::new(),
            metrics,
            request_bodies: RequestBodies::new(settings.machine.request_body_bytes(), clock),
            retry_budget: Mutex::new(RetryBudget::new(0, MAX_SAVED_RETRIES)),
            is_stopping: AtomicBool::new(false),
            in_progress: Arc::default(),
            open_claims: Arc::default(),
        })
    }

    /// Returns the versions of the control state in force.
    pub(crate) fn versions(&self) -> Versions {
        self.control.versions()
    }

    /// Returns the environment document in force.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse every request while the entry is stopping or lacks a part of
    /// the control state.
    pub(crate) fn document(&self) -> Result<Arc<Document>, Reason> {
        if self.is_stopping.load(Ordering::Acquire) {
            return Err(Reason::Stopping);
        }
        self.control.serving_document()
    }

    /// Returns the budget of retries and hedges.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to refuse new requests.
    pub(crate) fn begin_shutdown(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn begin_work(&self) -> WorkGuard {
        WorkGuard::new(&self.in_progress)
    }

    /// Counts a claim whose outcome is not recorded yet, even if its caller already has a response,
    /// until the guard is dropped.
    pub(crate) fn begin_claim(&self) -> WorkGuard {
        WorkGuard::new(&self.open_claims)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns the number of claims whose outcome is not recorded yet.
    pub(crate) fn open_claims(&self) -> u32 {
        self.open_claims.load(Ordering::Acquire)
    }
}

/// Counts a request or claim as in progress until dropped.
pub(crate) struct WorkGuard(Arc<AtomicU32>);

impl WorkGuard {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
