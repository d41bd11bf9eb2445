//! Results of commands, their printed forms and their exit codes.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use derive_more::Display;
use serde::Serialize;
use yuccatrail_core::{control::ChangeResult, document::Fault};

use super::change::Settled;

/// Result of a command that checks or changes something.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The document has no faults.
    #[display("valid, digest {digest}")]
    Valid {
        /// Digest of the document in hexadecimal form.
        digest: String,
    },
    /// The change is accepted.
    #[display("accepted as version {version}{}", confirmation(*entries))]
    Accepted {
        /// Version that the change made.
        version: u64,
        /// Number of entries that reported the version, if the command waited for them.
        entries: Option<usize>,
    },
    /// The state was already as the change asks.
    #[display("already in force as version {version}{}", confirmation(*entries))]
    AlreadyInForce {
        /// Version in force.
        version: u64,
        /// Number of entries that reported the version, if the command waited for them.
        entries: Option<usize>,
    },
    /// A file could not be read.
    #[display("{path}: {detail}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What was observed.
        detail: String,
    },
    /// The document has faults.
    #[display("{}", lines(faults))]
    Faulty {
        /// The faults in the order of their lines.
        faults: Vec<FaultReport>,
    },
    /// Another change won.
    #[display("conflict: version {current_version} with digest {digest} is in force")]
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Digest of the record in force, in hexadecimal form.
        digest: String,
    },
    /// The source environment holds another document than the one to promote.
    #[display("{environment} holds {found} instead of {wanted}; nothing was promoted")]
    SourceMismatch {
        /// The source environment.
        environment: String,
        /// Digest to promote, in hexadecimal form.
        wanted: String,
        /// What the source environment holds.
        found: String,
    },
    /// Nothing changed, because the platform could not be used.
    #[display("nothing changed: {detail}")]
    NotAccepted {
        /// What was observed.
        detail: String,
    },
    /// The change may have taken effect.
    #[display("undecided, run the command again to settle it: {detail}")]
    Undecided {
        /// What was observed.
        detail: String,
    },
    /// The change is accepted, and some entries did not report it in time.
    #[display("version {version} is accepted, but not yet reported by: {}", missing.join(", "))]
    NotConfirmed {
        /// Version that the entries have to report.
        version: u64,
        /// Entries that did not report it, with what was observed.
        missing: Vec<String>,
    },
}

/// A fault of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}: {key}: {message}")]
pub(crate) struct FaultReport {
    /// File or environment that the document comes from.
    pub(crate) file: String,
    /// Line, counted from one.
    pub(crate) line: usize,
    /// Path of the key.
    pub(crate) key: String,
    /// What is wrong.
    pub(crate) message: String,
}

impl Outcome {
    /// Describes the faults of a document.
    pub(crate) fn faulty(file: &str, faults: &[Fault]) -> Self {
        let mut reports = Vec::with_capacity(faults.len());
        for fault in faults {
            reports.push(FaultReport {
                file: file.to_owned(),
                line: fault.line,
                key: fault.path.clone(),
                message: fault.kind.to_string(),
            });
        }
        Self::Faulty { faults: reports }
    }

    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Valid { .. } | Self::Accepted { .. } | Self::AlreadyInForce { .. } => 0,
            Self::Unreadable { .. } => 1,
            Self::Faulty { .. } => 2,
            Self::Conflict { .. } | Self::SourceMismatch { .. } => 3,
            Self::NotAccepted { .. } => 4,
            Self::Undecided { .. } => 5,
            Self::NotConfirmed { .. } => 6,
        }
    }

    /// Prints the result, failures in plain text on standard error.
    pub(crate) fn report(&self, json: bool) -> ExitCode {
        let code = self.exit_code();
        if json {
            // All members are numbers and texts, which always encode.
            print_line(&serde_json::to_string(self).unwrap_or_default());
        } else if code == 0 {
            print_line(&self.to_string());
        } else {
            eprint_line(&self.to_string());
        }
        ExitCode::from(code)
    }
}

impl<T> From<Settled<T>> for Outcome {
    fn from(settled: Settled<T>) -> Self {
        let detail = settled.detail();
        match settled.result {
            ChangeResult::Accepted { version } => Self::Accepted { version, entries: None },
            ChangeResult::AlreadyInForce { version } => {
                Self::AlreadyInForce { version, entries: None }
            }
            ChangeResult::Conflict { current_version, digest } => {
                Self::Conflict { current_version, digest: digest.to_string() }
            }
            ChangeResult::NotAccepted => Self::NotAccepted { detail },
            ChangeResult::Undecided => Self::Undecided { detail },
        }
    }
}

/// Prints a line on standard output.
pub(crate) fn print_line(line: &str) {
    // A closed pipe means that nobody reads; the exit code still tells the result.
    let _ = writeln!(io::stdout(), "{line}");
}

/// Prints a line on standard error.
pub(crate) fn eprint_line(line: &str) {
    // There is no other place to report that standard error is closed.
    let _ = writeln!(io::stderr(), "{line}");
}

fn confirmation(entries: Option<usize>) -> String {
    match entries {
        Some(count) => format!(", reported by {count} entries"),
        None => String::new(),
    }
}

fn lines(faults: &[FaultReport]) -> String {
    let mut text = String::new();
    for (index, fault) in faults.iter().enumerate() {
        if index > 0 {
            text.push('\n');
        }
        text.push_str(&fault.to_string());
    }
    text
}
