//! Status of an entry as reported to operator commands.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use yuccatrail_core::control::Versions;

/// Status of an entry, limited to what operator commands use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryStatus {
    /// Identifier of this run of the entry's process.
    pub(crate) incarnation: String,
    /// Versions of the control state that the entry holds.
    pub(crate) versions: Versions,
    /// Upstreams of the entry; none if the status was read over the peer protocol.
    #[serde(default)]
    pub(crate) upstreams: Option<Vec<UpstreamStatus>>,
}

/// Status of an upstream as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamStatus {
    /// Name of the upstream.
    pub(crate) name: String,
    /// Whether the entry is connected to the upstream's agent.
    #[serde(default)]
    pub(crate) connected: bool,
}

/// Why an entry's status is not known.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StatusError {
    /// The entry did not respond.
    #[display("unreachable: {detail}")]
    Unreachable {
        /// Observed error.
        detail: String,
    },
    /// The response is not a valid status.
    #[display("unexpected response: {detail}")]
    Unexpected {
        /// Observed error.
        detail: String,
    },
}

impl StatusError {
    /// Creates the error for a missing response.
    pub(crate) fn unreachable(detail: impl Into<String>) -> Self {
        Self::Unreachable { detail: detail.into() }
    }

    /// Creates the error for a response that is not a valid status.
    pub(crate) fn unexpected(detail: impl Into<String>) -> Self {
        Self::Unexpected { detail: detail.into() }
    }
}
