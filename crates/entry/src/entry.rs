//! State that all requests of the entry share.

use std::sync::{Arc, PoisonError, RwLock};

use yuccatrail_core::{
    control::{ControlUpdate, Versions},
    document::Document,
    ids::Incarnation,
};
use yuccatrail_rpc::messages::SyncRequest;
use yuccatrail_runtime::clock::Clock;

use crate::{fleet::Fleet, settings::Settings};

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
    /// Upstreams that the entry is connected to.
    pub(crate) fleet: Fleet,
    control: RwLock<(Versions, Option<Arc<Document>>)>,
}

impl Entry {
    /// Creates an entry without configuration and upstreams.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let clock = Clock::new();
        Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            clock,
            fleet: Fleet::new(clock),
            control: RwLock::default(),
        }
    }

    /// Returns the versions of the control state in force.
    pub(crate) fn versions(&self) -> Versions {
        self.control.read().unwrap_or_else(PoisonError::into_inner).0
    }

    /// Returns the environment document in force.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.control.read().unwrap_or_else(PoisonError::into_inner).1.clone()
    }

    /// Puts a document in force.
    pub(crate) fn set_document(&self, version: u64, document: Document) {
        let mut control = self.control.write().unwrap_or_else(PoisonError::into_inner);
        control.0.config = version;
        control.1 = Some(Arc::new(document));
    }

    /// Builds the heartbeat for an agent.
    pub(crate) fn heartbeat(&self) -> SyncRequest {
        SyncRequest {
            from: self.incarnation,
            versions: self.versions(),
            update: ControlUpdate::default(),
            strikes: Vec::new(),
        }
    }
}
