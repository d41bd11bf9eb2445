//! Subcommands, one file each.

mod demo;
mod platform;
mod upstream;

use std::process::ExitCode;

use bpaf::{Parser, construct};

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Runs the platform stand-in.
    Platform(platform::Arguments),
    /// Runs an upstream stand-in.
    Upstream(upstream::Arguments),
    /// Runs the whole system once with stand-ins.
    Demo,
}

/// Parses the command line.
pub(crate) fn parse() -> Command {
    let platform = platform::arguments()
        .map(Command::Platform)
        .to_options()
        .descr("Runs a stand-in of the platform's object API")
        .command("platform");
    let upstream = upstream::arguments()
        .map(Command::Upstream)
        .to_options()
        .descr("Runs a stand-in of an upstream")
        .command("upstream");
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Starts the whole system with stand-ins, sends requests and stops it")
        .command("demo");
    construct!([platform, upstream, demo])
        .to_options()
        .descr("Stand-ins for tests, demonstrations and measurements")
        .run()
}

/// Runs a subcommand.
pub(crate) async fn run(command: Command) -> ExitCode {
    match command {
        Command::Platform(arguments) => platform::run(arguments).await,
        Command::Upstream(arguments) => upstream::run(arguments).await,
        Command::Demo => demo::run().await,
    }
}
