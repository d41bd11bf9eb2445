//! Command line of the stand-ins.

mod upstream_command;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use crate::upstream_command::UpstreamArguments;

/// Subcommands of the stand-ins.
#[derive(Clone, Debug)]
enum Command {
    /// Runs an upstream.
    Upstream(UpstreamArguments),
}

fn options() -> OptionParser<Command> {
    let upstream = upstream_command::options().map(Command::Upstream);
    construct!([upstream]).to_options().descr("Stand-ins for the systems around yuccatrail")
}

#[tokio::main]
async fn main() -> ExitCode {
    match options().run() {
        Command::Upstream(arguments) => upstream_command::run(arguments).await,
    }
}
