//! The entry instance and the operators' commands.

mod caller;
mod entry;
mod fleet;
mod gossip;
mod link;
mod metrics;
mod operator;
mod platform_feed;
mod policy;
mod run;
mod serve;
mod settings;
mod strikes;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use crate::settings::Settings;

/// Subcommands of the binary.
#[derive(Clone, Debug)]
enum Command {
    /// Runs the entry instance.
    Serve(Settings),
    /// Runs an operators' command.
    Operator(operator::Command),
}

fn options() -> OptionParser<Command> {
    let serve = settings::options()
        .to_options()
        .descr("Serve callers: the entry instance behind the platform's balancer")
        .command("serve")
        .map(Command::Serve);
    let operator = operator::command().map(Command::Operator);
    construct!([serve, operator])
        .to_options()
        .descr("Serving system for multi-stage model pipelines")
}

#[tokio::main]
async fn main() -> ExitCode {
    match options().run() {
        Command::Serve(settings) => serve::run(settings).await,
        Command::Operator(command) => operator::run(command).await,
    }
}
