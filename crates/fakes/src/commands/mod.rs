//! Subcommands, one file each.

mod platform;

use std::process::ExitCode;

use bpaf::{Parser, construct};

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Runs the platform stand-in.
    Platform(platform::Arguments),
}

/// Parses the command line.
pub(crate) fn parse() -> Command {
    let platform = platform::arguments()
        .map(Command::Platform)
        .to_options()
        .descr("Runs a stand-in of the platform's object API")
        .command("platform");
    construct!([platform]).to_options().descr("Stand-ins for tests").run()
}

/// Runs a subcommand.
pub(crate) async fn run(command: Command) -> ExitCode {
    match command {
        Command::Platform(arguments) => platform::run(arguments).await,
    }
}
