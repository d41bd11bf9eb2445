//! Command line of the stand-ins.

mod platform_command;
mod upstream_command;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use crate::{platform_command::PlatformArguments, upstream_command::UpstreamArguments};

/// Subcommands of the stand-ins.
#[derive(Clone, Debug)]
enum Command {
    /// Runs a platform.
    Platform(PlatformArguments),
    /// Runs an upstream.
    Upstream(UpstreamArguments),
}

fn options() -> OptionParser<Command> {
    let platform = platform_command::options().map(Command::Platform);
    let upstream = upstream_command::options().map(Command::Upstream);
    construct!([platform, upstream])
        .to_options()
        .descr("Stand-ins for the systems around yuccatrail")
}

#[tokio::main]
async fn main() -> ExitCode {
    match options().run() {
        Command::Platform(arguments) => platform_command::run(arguments).await,
        Command::Upstream(arguments) => upstream_command::run(arguments).await,
    }
}
