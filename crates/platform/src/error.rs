//! Errors of platform calls.

use derive_more::{Display, Error};

/// Error of a platform call.
///
/// The variants distinguish what callers have to handle differently: calls that had no effect,
/// writes whose effect is not known, and responses in which the platform states why it refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect, for example because the platform could not be reached; also returned
    /// for reads without a response.
    #[display("{object}: platform unavailable: {detail}")]
    Unavailable {
        /// Object or collection that was called.
        object: String,
        /// Description of the failure.
        detail: String,
        /// Time after which the call may be retried, in milliseconds, if known.
        retry_after_ms: Option<u64>,
    },
    /// A write was sent but its response was lost, so that it may or may not have taken effect.
    #[display("{object}: response lost, the write may have taken effect: {detail}")]
    AnswerLost {
        /// Object that was to be written.
        object: String,
        /// Description of the failure.
        detail: String,
    },
    /// An object of the same name already exists.
    #[display("{object}: already exists")]
    AlreadyExists {
        /// Object that was to be written.
        object: String,
    },
    /// The object was changed or deleted after the version that the write is based on.
    #[display("{object}: changed since it was read")]
    Conflict {
        /// Object that was to be written.
        object: String,
    },
    /// The platform no longer has the history since the version from which a watch was requested.
    #[display("{object}: the requested version is too old to watch from")]
    Gone {
        /// Collection that was watched.
        object: String,
    },
    /// The response is older than a restore of the platform that this client knows of, or the restore
    /// happened between the parts of a result; the call has to be repeated.
    #[display("{object}: the platform was restored meanwhile")]
    Restored {
        /// Object or collection that was called.
        object: String,
    },
    /// The value exceeds the platform's limit and was not sent.
    #[display("{object}: value of {size_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    TooLarge {
        /// Object that was to be written.
        object: String,
        /// Size of the encoded object, in bytes.
        size_bytes: usize,
        /// Maximum size of an encoded object, in bytes.
        limit_bytes: usize,
    },
    /// The request or the response does not conform to the API, so that a retry would fail as well.
    #[display("{object}: {detail}")]
    Invalid {
        /// Object or collection that was called.
        object: String,
        /// Description of the violation.
        detail: String,
    },
}
