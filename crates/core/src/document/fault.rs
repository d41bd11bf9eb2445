//! Validation faults of an environment document.

use derive_more::{Display, Error};

/// A validation fault of an environment document, with its location.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {path}: {kind}")]
pub struct Fault {
    /// Path of the key, such as `pipeline[1].stage[0].pool`; `document` if the fault concerns the
    /// whole document.
    pub path: String,
    /// Line number in the text, counted from one.
    pub line: usize,
    /// What is wrong.
    #[error(not(source))]
    pub kind: FaultKind,
}

/// What is wrong with a key or its value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// The text is not valid TOML.
    #[display("not valid TOML: {_0}")]
    Syntax(String),
    /// A key is unknown or missing, or its value has the wrong type.
    #[display("{_0}")]
    Shape(String),
    /// The text is too large to be stored on the platform.
    #[display("the text has {length_bytes} bytes, more than the limit of {limit_bytes}")]
    TooLong {
        /// Length of the text in bytes.
        length_bytes: usize,
        /// Maximum length in bytes.
        limit_bytes: usize,
    },
    /// A name is empty or contains characters that are not allowed in a path or header.
    #[display("name `{_0}` has to consist of ASCII letters, digits, `-`, `_` and `.`")]
    BadName(String),
    /// A name is used more than once.
    #[display("name `{name}` is already used by {first}")]
    DuplicateName {
        /// The name.
        name: String,
        /// Path of the first use.
        first: String,
    },
    /// A stage or service refers to a pool that does not exist.
    #[display("there is no pool named `{_0}`")]
    UnknownPool(String),
    /// A stage refers to a pool of kind `service`.
    #[display("pool `{_0}` is of kind `service` and can't run a stage")]
    ServicePool(String),
    /// A service refers to a pool that is not of kind `service`.
    #[display("pool `{_0}` is not of kind `service` and can't serve plain calls")]
    NotServicePool(String),
    /// A number that must be positive is zero.
    #[display("has to be at least 1")]
    Zero,
    /// The concurrency limit during a cold start exceeds the limit of a warm upstream.
    #[display("exceeds `concurrency`, which is {concurrency}")]
    ColdAboveWarm {
        /// Limit of a warm upstream, in calls.
        concurrency: u32,
    },
    /// A pipeline has no stage.
    #[display("needs at least one stage")]
    NoStage,
    /// A pipeline has more stages than a stage index can number.
    #[display("has {count} stages, more than the limit of {limit}")]
    TooManyStages {
        /// Number of stages.
        count: usize,
        /// Maximum number of stages.
        limit: usize,
    },
    /// The estimated time exceeds the deadline.
    #[display("is shorter than the estimated time of {estimate_ms} ms")]
    DeadlineTooShort {
        /// Estimated time in milliseconds, for a pipeline the sum over its stages.
        estimate_ms: u64,
    },
    /// The estimated time of a pipeline overflows.
    #[display("the estimated time is too large to be computed")]
    EstimateOverflow,
    /// An HTTP method is empty or not in upper-case letters.
    #[display("method `{_0}` has to be written in upper-case letters")]
    BadMethod(String),
    /// A path prefix does not start with a slash.
    #[display("path `{_0}` has to start with a slash")]
    BadPath(String),
}
