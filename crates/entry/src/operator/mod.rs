//! Operator commands; each prints its result and reports it in the exit code.

mod propagate;
mod change;
mod check;
mod confirm;
mod data_centre;
mod document_file;
mod entry_status;
mod http_status;
mod operate;
mod options;
mod outcome;
mod peer_status;
mod promote;
mod status;
mod trial;
mod upstream;

use std::process::ExitCode;

use bpaf::{Parser, construct};

/// An operator command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Checks an environment document offline.
    Check(check::Arguments),
    /// Applies a document to the trial environment.
    Trial(trial::Arguments),
    /// Applies the document of one environment to another.
    Promote(promote::Arguments),
    /// Shows the state in force and the state that each entry reports.
    Status(status::Arguments),
    /// Takes a data centre out of service or brings it back.
    DataCentre(data_centre::Arguments),
    /// Makes an upstream leave or return.
    Upstream(upstream::Arguments),
}

/// Parses an operator command.
pub(crate) fn command() -> impl Parser<Command> {
    let check = check::command().map(Command::Check);
    let trial = trial::command().map(Command::Trial);
    let promote = promote::command().map(Command::Promote);
    let status = status::command().map(Command::Status);
    let data_centre = data_centre::command().map(Command::DataCentre);
    let upstream = upstream::command().map(Command::Upstream);
    construct!([check, trial, promote, status, data_centre, upstream])
}

/// Runs a command to its end and returns its exit code.
pub(crate) async fn run(command: Command) -> ExitCode {
    match command {
        Command::Check(arguments) => check::run(&arguments),
        Command::Trial(arguments) => trial::run(arguments).await,
        Command::Promote(arguments) => promote::run(arguments).await,
        Command::Status(arguments) => status::run(arguments).await,
        Command::DataCentre(arguments) => data_centre::run(arguments).await,
        Command::Upstream(arguments) => upstream::run(arguments).await,
    }
}
