//! What an entry reports to operators.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use yuccatrail_core::control::Versions;

/// Status of an entry, as far as operators need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryStatus {
    /// The run of the entry's process.
    pub(crate) incarnation: String,
    /// Versions of the control state that the entry holds.
    pub(crate) versions: Versions,
    /// Upstreams as the entry sees them, if it was asked over HTTP.
    #[serde(default)]
    pub(crate) upstreams: Option<Vec<UpstreamStatus>>,
}

/// Status of an upstream as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamStatus {
    /// Name of the upstream.
    pub(crate) name: String,
    /// Whether the entry reaches the upstream's agent.
    #[serde(default)]
    pub(crate) connected: bool,
}

/// Why an entry's status is not known.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StatusError {
    /// No answer came.
    #[display("unreachable: {detail}")]
    Unreachable {
        /// What was observed.
        detail: String,
    },
    /// The answer is no status.
    #[display("unexpected answer: {detail}")]
    Unexpected {
        /// What was observed.
        detail: String,
    },
}

impl StatusError {
    /// Describes a missing answer.
    pub(crate) fn unreachable(detail: impl Into<String>) -> Self {
        Self::Unreachable { detail: detail.into() }
    }

    /// Describes an answer that is no status.
    pub(crate) fn unexpected(detail: impl Into<String>) -> Self {
        Self::Unexpected { detail: detail.into() }
    }
}
