//! State that all requests of the entry share.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use yuccatrail_core::{
    attempt::RetryBudget, control::Versions, document::Document, ids::Incarnation, outcome::Reason,
};
use yuccatrail_platform::Client;
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

use crate::{fleet::Fleet, metrics::Metrics, policy::Policy, settings::Settings, strikes::Strikes};

/// Retries that can be saved up for later.
const RETRY_RESERVE: u32 = 10;

/// The running entry.
pub(crate) struct Entry {
    /// Name of the instance.
    pub(crate) name: String,
    /// Data centre that the entry stands in.
    pub(crate) data_centre: String,
    /// The run of this process.
    pub(crate) incarnation: Incarnation,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Configuration and operational state in force.
    pub(crate) control: Arc<SharedControl>,
    /// Requests that stopped upstreams.
    pub(crate) strikes: Arc<Strikes>,
    /// Upstreams that the entry is connected to.
    pub(crate) fleet: Arc<Fleet>,
    /// Client of the platform.
    pub(crate) platform: Client,
    /// Admission and estimates.
    pub(crate) policy: Policy,
    /// Metrics.
    pub(crate) metrics: Metrics,
    retry_budget: Mutex<RetryBudget>,
    stopping: AtomicBool,
    in_progress: Arc<AtomicU32>,
    settling: Arc<AtomicU32>,
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
            retry_budget: Mutex::new(RetryBudget::new(0, RETRY_RESERVE)),
            stopping: AtomicBool::new(false),
            in_progress: Arc::default(),
            settling: Arc::default(),
        })
    }

    /// Returns the versions of the control state in force.
    pub(crate) fn versions(&self) -> Versions {
        self.control.versions()
    }

    /// Returns the document to serve by.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse every request: the entry stops, or lacks a part of the state.
    pub(crate) fn document(&self) -> Result<Arc<Document>, Reason> {
        if self.stopping.load(Ordering::Acquire) {
            return Err(Reason::Stopping);
        }
        self.control.serving_document()
    }

    /// Returns the budget of retries and hedges.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses new requests from now on.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn begin_work(&self) -> WorkGuard {
        WorkGuard::new(&self.in_progress)
    }

    /// Counts a claim that is to be settled, whether or not its caller has been answered.
    pub(crate) fn begin_settling(&self) -> WorkGuard {
        WorkGuard::new(&self.settling)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns the number of claims that are to be settled.
    pub(crate) fn settling(&self) -> u32 {
        self.settling.load(Ordering::Acquire)
    }
}

/// Counts one piece of work in progress.
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
