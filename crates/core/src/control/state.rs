//! Control state held by one process.

use std::sync::Arc;

use super::{ConfigRecord, ControlUpdate, OperationsRecord, Sabotage, Versions};
use crate::{
    document::{self, Document, Fault},
    ids::Digest,
    outcome::Reason,
    switch::MechanismSwitch,
};

/// Control state held by one process; its versions never decrease.
#[derive(Clone, Debug)]
pub struct ControlState {
    config: Option<ParsedConfig>,
    operations: Option<Arc<OperationsRecord>>,
    mechanisms: MechanismSwitch<Sabotage>,
}

/// A configuration record with its parsed document.
#[derive(Clone, Debug)]
struct ParsedConfig {
    record: ConfigRecord,
    document: Arc<Document>,
}

/// Outcome of each part of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateAdoption {
    /// Outcome for the configuration.
    pub config: Adoption,
    /// Outcome for the operational state.
    pub operations: Adoption,
}

impl UpdateAdoption {
    /// Tells whether either part was adopted.
    pub fn is_changed(&self) -> bool {
        self.config.is_adopted() || self.operations.is_adopted()
    }
}

/// Outcome of one part of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The update does not contain the part.
    Absent,
    /// The record is now in force.
    Adopted {
        /// Version now in force.
        version: u64,
    },
    /// The same record was already in force.
    AlreadyHeld,
    /// The record is older than the one in force, which is kept.
    Older {
        /// Version in force.
        held_version: u64,
    },
    /// A different record with the same version is in force and is kept.
    Conflict {
        /// Version of both records.
        version: u64,
        /// Digest of the record in force.
        held: Digest,
        /// Digest of the refused record.
        offered: Digest,
    },
    /// The text does not match the digest, so the record is refused.
    DigestMismatch {
        /// Version of the refused record.
        version: u64,
    },
    /// The text is not a valid document, so the record is refused.
    Invalid {
        /// Version of the refused record.
        version: u64,
        /// Faults of the document.
        faults: Vec<Fault>,
    },
}

impl Adoption {
    /// Tells whether the record was adopted.
    pub fn is_adopted(&self) -> bool {
        matches!(self, Self::Adopted { .. })
    }

    /// Tells whether the record is invalid or conflicts with the one in force, which has to be
    /// reported to an operator.
    pub fn is_error(&self) -> bool {
        matches!(self, Self::Conflict { .. } | Self::DigestMismatch { .. } | Self::Invalid { .. })
    }
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlState {
    /// Creates the empty state of a process that has just started.
    pub fn new() -> Self {
        Self { config: None, operations: None, mechanisms: MechanismSwitch::new() }
    }

    /// Disables one safety mechanism.
    #[cfg(feature = "sabotage")]
    pub fn sabotage(&mut self, mechanism: Sabotage) {
        self.mechanisms.disable(mechanism);
    }

    /// Returns the versions that the process holds.
    pub fn versions(&self) -> Versions {
        Versions {
            config: self.config.as_ref().map_or(0, |it| it.record.version),
            operations: self.operations.as_ref().map_or(0, |it| it.version),
        }
    }

    /// Returns the document in force, if the process holds one.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.config.as_ref().map(|it| &it.document)
    }

    /// Returns the configuration record in force, if the process holds one.
    pub fn config(&self) -> Option<&ConfigRecord> {
        self.config.as_ref().map(|it| &it.record)
    }

    /// Returns the operational state in force, if the process holds one.
    pub fn operations(&self) -> Option<&Arc<OperationsRecord>> {
        self.operations.as_ref()
    }

    /// Returns the document to serve requests by, or the reason to refuse every request.
    ///
    /// A process serves only when it holds both parts: without the operational state it might send
    /// work to a data centre that is out of service.
    pub fn serving_document(&self) -> Result<&Arc<Document>, Reason> {
        let Some(config) = &self.config else {
            return Err(Reason::NoConfiguration);
        };
        if self.operations.is_none() {
            return Err(Reason::NoConfiguration);
        }
        Ok(&config.document)
    }

    /// Returns the parts that are newer than those of a peer that holds `versions`.
    pub fn update_for(&self, versions: Versions) -> ControlUpdate {
        if self.mechanisms.is_disabled(Sabotage::Gossip) {
            return ControlUpdate::default();
        }
        let held = self.versions();
        let mut update = ControlUpdate::default();
        if held.config > versions.config {
            update.config = self.config().cloned();
        }
        if held.operations > versions.operations {
            update.operations = self.operations().map(|it| OperationsRecord::clone(it));
        }
        update
    }

    /// Adopts each part of `update` that is newer than the one in force.
    pub fn adopt(&mut self, update: ControlUpdate) -> UpdateAdoption {
        let config = match update.config {
            Some(record) => self.adopt_config(record),
            None => Adoption::Absent,
        };
        let operations = match update.operations {
            Some(record) => self.adopt_operations(record),
            None => Adoption::Absent,
        };
        UpdateAdoption { config, operations }
    }

    fn adopt_config(&mut self, record: ConfigRecord) -> Adoption {
        let version = record.version;
        let held_digest = self.config().map(|it| it.digest);
        let held_version = self.versions().config;
        if let Some(rejection) = self.compare(version, record.digest, held_version, held_digest) {
            return rejection;
        }
        let checks_digest = !self.mechanisms.is_disabled(Sabotage::DigestCheck);
        if checks_digest && Digest::of(record.text.as_bytes()) != record.digest {
            return Adoption::DigestMismatch { version };
        }
        let document = match document::parse(&record.text) {
            Ok(document) => Arc::new(document),
            Err(faults) => return Adoption::Invalid { version, faults },
        };
        self.config = Some(ParsedConfig { record, document });
        Adoption::Adopted { version }
    }

    fn adopt_operations(&mut self, record: OperationsRecord) -> Adoption {
        let version = record.version;
        let held_digest = self.operations().map(|it| it.digest());
        let held_version = self.versions().operations;
        if let Some(rejection) = self.compare(version, record.digest(), held_version, held_digest) {
            return rejection;
        }
        self.operations = Some(Arc::new(record));
        Adoption::Adopted { version }
    }

    /// Decides by version and digest alone; returns `None` if the record is newer and may be
    /// adopted.
    fn compare(
        &self,
        version: u64,
        offered: Digest,
        held_version: u64,
        held: Option<Digest>,
    ) -> Option<Adoption> {
        // Version zero means that no record is held, so no record may have it.
        if version == 0 {
            return Some(Adoption::Older { held_version });
        }
        if version < held_version && !self.mechanisms.is_disabled(Sabotage::MonotonicVersions) {
            return Some(Adoption::Older { held_version });
        }
        if version > held_version {
            return None;
        }
        let held = held?;
        if held == offered {
            return Some(Adoption::AlreadyHeld);
        }
        if self.mechanisms.is_disabled(Sabotage::ConflictCheck) || version < held_version {
            return None;
        }
        Some(Adoption::Conflict { version, held, offered })
    }
}
