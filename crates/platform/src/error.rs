//! Errors of platform calls.

use derive_more::{Display, Error};

/// Why a platform call did not succeed.
///
/// The variants separate what a caller has to treat differently: a call that had no effect, a write
/// whose effect is not known, and an answer that tells why the platform refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect; every failed read belongs here as well.
    #[display("{object}: platform unavailable: {detail}")]
    Unavailable {
        /// Object or collection that the call was about.
        object: String,
        /// What was observed.
        detail: String,
        /// Time after which the platform allows another call, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// A write was sent and its answer was lost, so it may or may not have taken effect.
    #[display("{object}: answer lost, the write may have taken effect: {detail}")]
    AnswerLost {
        /// Object that the write was about.
        object: String,
        /// What was observed.
        detail: String,
    },
    /// An object of the same name exists already.
    #[display("{object}: exists already")]
    AlreadyExists {
        /// Object that the write was about.
        object: String,
    },
    /// The object was changed or deleted since the version that the write is based on.
    #[display("{object}: changed since it was read")]
    Conflict {
        /// Object that the write was about.
        object: String,
    },
    /// The platform no longer holds the changes since the version that a watch asked for.
    #[display("{object}: the requested version is too old to watch from")]
    Gone {
        /// Collection that was watched.
        object: String,
    },
    /// The value exceeds the platform's limit and was not sent.
    #[display("{object}: value of {size_bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    TooLarge {
        /// Object that the write was about.
        object: String,
        /// Size of the encoded object, in bytes.
        size_bytes: usize,
        /// Largest encoded object that the platform takes, in bytes.
        limit_bytes: usize,
    },
    /// The request or the answer does not follow the API; repeating the call does not help.
    #[display("{object}: {detail}")]
    Invalid {
        /// Object or collection that the call was about.
        object: String,
        /// What is wrong.
        detail: String,
    },
}
