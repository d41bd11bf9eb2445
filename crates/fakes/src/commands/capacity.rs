//! The `capacity` subcommand: measures how costs scale and extrapolates them to the planned size.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::capacity::report;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    json: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let json = long("json").help("File for the results as JSON").argument("FILE").optional();
    construct!(Arguments { json })
}

/// Measures the slopes, and prints them with the projection to the planned size.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    if cfg!(debug_assertions) {
        eprintln!("warning: measuring a debug build; results of a release build differ");
    }
    let report = match report::measure().await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("capacity measurement failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.table());
    super::write_json(arguments.json.as_deref(), &report)
}
