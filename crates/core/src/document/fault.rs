//! Faults of an environment document.

use derive_more::{Display, Error};

/// A fault of an environment document, with the place where it stands.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {path}: {kind}")]
pub struct Fault {
    /// Path of the key, such as `pipeline[1].stage[0].pool`; `document` for the document as a
    /// whole.
    pub path: String,
    /// Line of the text, counted from one.
    pub line: usize,
    /// What is wrong.
    #[error(not(source))]
    pub kind: FaultKind,
}

/// What is wrong with a key or its value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// The text is not TOML.
    #[display("not valid TOML: {_0}")]
    Syntax(String),
    /// A key is unknown or missing, or its value has the wrong type.
    #[display("{_0}")]
    Shape(String),
    /// The text is larger than the platform stores.
    #[display("the text has {length_bytes} bytes, more than the limit of {limit_bytes}")]
    TooLong {
        /// Length of the text in bytes.
        length_bytes: usize,
        /// Largest accepted length in bytes.
        limit_bytes: usize,
    },
    /// A name is empty or has characters that don't fit into a path or header.
    #[display("name `{_0}` has to consist of ASCII letters, digits, `-`, `_` and `.`")]
    BadName(String),
    /// A name stands twice.
    #[display("name `{name}` is already used by {first}")]
    DuplicateName {
        /// The name.
        name: String,
        /// Path of the first use.
        first: String,
    },
    /// A reference names no pool.
    #[display("there is no pool named `{_0}`")]
    UnknownPool(String),
    /// A stage refers to a pool that serves plain calls.
    #[display("pool `{_0}` is of kind `service` and can't run a stage")]
    ServicePool(String),
    /// A service refers to a pool that does not serve plain calls.
    #[display("pool `{_0}` is not of kind `service` and can't serve plain calls")]
    NotServicePool(String),
    /// A number that has to be positive is zero.
    #[display("has to be at least 1")]
    Zero,
    /// The cold limit exceeds the warm limit.
    #[display("exceeds `concurrency`, which is {concurrency}")]
    ColdAboveWarm {
        /// Warm limit in calls.
        concurrency: u32,
    },
    /// A pipeline has no stage.
    #[display("needs at least one stage")]
    NoStage,
    /// A pipeline has more stages than can be numbered.
    #[display("has {count} stages, more than the limit of {limit}")]
    TooManyStages {
        /// Number of stages.
        count: usize,
        /// Largest number of stages.
        limit: usize,
    },
    /// The estimated time exceeds the deadline.
    #[display("is shorter than the estimated time of {estimate_ms} ms")]
    DeadlineTooShort {
        /// Sum of the estimates in milliseconds.
        estimate_ms: u64,
    },
    /// The sum of the estimates exceeds the range of the numbers.
    #[display("the estimated time is too large to be computed")]
    EstimateOverflow,
    /// A method is not written in upper-case letters.
    #[display("method `{_0}` has to be written in upper-case letters")]
    BadMethod(String),
    /// A path prefix does not start with a slash.
    #[display("path `{_0}` has to start with a slash")]
    BadPath(String),
}
