//! Changes to the operational state made by operators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::OperationsRecord;
use crate::ids::Digest;

/// Version of the operational state before the first change.
const INITIAL_VERSION: u64 = 1;

/// One idempotent change to the operational state.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationsChange {
    /// Takes a data centre out of service.
    #[display("data-centre out {_0}")]
    DataCentreOut(String),
    /// Brings a data centre back into service.
    #[display("data-centre in {_0}")]
    DataCentreIn(String),
    /// Takes an upstream out of service, permanently or until it is brought back.
    #[display("upstream leave {_0}")]
    UpstreamLeave(String),
    /// Brings an upstream back into service.
    #[display("upstream return {_0}")]
    UpstreamReturn(String),
}

impl OperationsRecord {
    /// Returns the state of an environment in which no operator has changed anything yet.
    ///
    /// A process that finds no stored state on the platform adopts this record, so that "nothing
    /// was ever taken out of service" can be told from "not yet known".
    pub fn initial() -> Self {
        Self { version: INITIAL_VERSION, ..Self::default() }
    }

    /// Computes a digest over the version and the names.
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::new();
        bytes.extend(self.version.to_be_bytes());
        for names in [&self.data_centres_out, &self.upstreams_leaving] {
            bytes.extend((names.len() as u64).to_be_bytes());
            for name in names {
                bytes.extend((name.len() as u64).to_be_bytes());
                bytes.extend(name.as_bytes());
            }
        }
        Digest::of(&bytes)
    }

    /// Tells whether the data centre receives no new work.
    pub fn is_data_centre_out(&self, name: &str) -> bool {
        self.data_centres_out.iter().any(|it| it == name)
    }

    /// Tells whether the upstream receives no new work.
    pub fn is_upstream_leaving(&self, name: &str) -> bool {
        self.upstreams_leaving.iter().any(|it| it == name)
    }

    /// Returns the next version of the record with `change` applied, or `None` if it is already in
    /// force.
    pub fn with_change(&self, change: &OperationsChange) -> Option<Self> {
        let mut next = self.clone();
        let is_changed = match change {
            OperationsChange::DataCentreOut(name) => insert(&mut next.data_centres_out, name),
            OperationsChange::DataCentreIn(name) => remove(&mut next.data_centres_out, name),
            OperationsChange::UpstreamLeave(name) => insert(&mut next.upstreams_leaving, name),
            OperationsChange::UpstreamReturn(name) => remove(&mut next.upstreams_leaving, name),
        };
        if !is_changed {
            return None;
        }
        next.version += 1;
        Some(next)
    }
}

/// Adds a name to a sorted list; returns true if it was not in the list before.
fn insert(names: &mut Vec<String>, name: &str) -> bool {
    let Err(position) = names.binary_search_by(|it| it.as_str().cmp(name)) else {
        return false;
    };
    names.insert(position, name.to_owned());
    true
}

/// Removes a name from a list; returns true if it was in the list.
fn remove(names: &mut Vec<String>, name: &str) -> bool {
    let count = names.len();
    names.retain(|it| it != name);
    names.len() != count
}
