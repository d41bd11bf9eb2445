//! The `capacity` subcommand: measured slopes and their product at the planned size.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::capacity::report;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    json: Option<PathBuf>,
}

/// Parses the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let json = long("json").help("File for the results as JSON").argument("FILE").optional();
    construct!(Arguments { json })
}

/// Measures the slopes and prints the tables.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    if cfg!(debug_assertions) {
        eprintln!("this is a debug build; figures of a release build differ");
    }
    let report = match report::measure().await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("capacity failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.table());
    super::write_json(arguments.json.as_deref(), &report)
}
