//! Objects of the platform and their kinds.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Name of the only object of the kinds [`Kind::Environments`] and [`Kind::Operations`].
pub const CURRENT: &str = "current";

/// Version of an object or a collection; only the platform can interpret it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, From, Into, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceVersion(pub String);

/// Kind of an object, which selects its collection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The accepted environment document.
    Environments,
    /// Operational state, such as the data centres that are out.
    Operations,
    /// Instances of the fleet, which the platform itself maintains.
    Instances,
    /// Claims on non-idempotent calls.
    Claims,
    /// Leases that elect one holder.
    Leases,
    /// Desired state of pools.
    DesiredPools,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::Environments,
        Self::Operations,
        Self::Instances,
        Self::Claims,
        Self::Leases,
        Self::DesiredPools,
    ];

    /// Returns the name of the collection in paths.
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

    /// Returns the name in the `kind` member of an object.
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

/// One object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object<T> {
    /// Name, unique within the kind and the environment.
    pub name: String,
    /// Version, which the next conditional write has to repeat.
    pub resource_version: ResourceVersion,
    /// Content.
    pub spec: T,
}

/// All objects of one kind at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectList<T> {
    /// Version of the collection, from which a watch continues without a gap.
    pub resource_version: ResourceVersion,
    /// The objects, in order of their names.
    pub objects: Vec<Object<T>>,
}
