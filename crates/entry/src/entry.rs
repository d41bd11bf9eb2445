//! State that all requests of the entry share.

use std::sync::Arc;

use yuccatrail_core::{control::Versions, document::Document, ids::Incarnation, outcome::Reason};
use yuccatrail_runtime::{clock::Clock, control::SharedControl};

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
    /// Configuration and operational state in force.
    pub(crate) control: Arc<SharedControl>,
    /// Upstreams that the entry is connected to.
    pub(crate) fleet: Fleet,
}

impl Entry {
    /// Creates an entry without configuration and upstreams.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let clock = Clock::new();
        let control = Arc::new(SharedControl::new());
        Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            clock,
            fleet: Fleet::new(clock, incarnation, control.clone()),
            control,
        }
    }

    /// Returns the versions of the control state in force.
    pub(crate) fn versions(&self) -> Versions {
        self.control.versions()
    }

    /// Returns the document to serve by.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse every request while the entry lacks a part of the state.
    pub(crate) fn document(&self) -> Result<Arc<Document>, Reason> {
        self.control.may_serve()
    }
}
