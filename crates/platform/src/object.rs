//! Objects of the platform's API and their kinds.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Name of the only object of the kinds [`Kind::Environments`] and [`Kind::Operations`].
pub const CURRENT: &str = "current";

/// Opaque version of an object or a collection.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, From, Into, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceVersion(pub String);

/// Kind of an object; each kind has its own collection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The accepted environment document.
    Environments,
    /// Operational state, such as the data centres that are out of service.
    Operations,
    /// Instances of the fleet; maintained by the platform itself.
    Instances,
    /// Claims by which one process reserves a non-idempotent call.
    Claims,
    /// Leases, each held by at most one process.
    Leases,
    /// Desired state of pools.
    DesiredPools,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Environments,
        Self::Operations,
        Self::Instances,
        Self::Claims,
        Self::Leases,
        Self::DesiredPools,
    ];

    /// Returns the plural name, which identifies the collection in paths.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Environments => "environments",
            Self::Operations => "operations",
            Self::Instances => "instances",
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::DesiredPools => "desiredpools",
        }
    }

    /// Returns the value of the `kind` member of objects.
    pub fn name(self) -> &'static str {
        match self {
            Self::Environments => "Environment",
            Self::Operations => "Operations",
            Self::Instances => "Instance",
            Self::Claims => "Claim",
            Self::Leases => "Lease",
            Self::DesiredPools => "DesiredPool",
        }
    }
}

/// An object at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Name, unique within the kind and the environment.
    pub name: String,
    /// Version, which a conditional write has to state.
    pub resource_version: ResourceVersion,
    /// Content of the object.
    pub spec: T,
}

/// All objects of one kind at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectList<T> {
    /// Version of the collection; a watch from it delivers all later changes.
    pub resource_version: ResourceVersion,
    /// The objects, sorted by name.
    pub objects: Vec<Object<T>>,
}
