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
use yuccatrail_runtime::threads::{self, DEFAULT_WORKER_THREADS};

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

fn main() -> ExitCode {
    let command = options().run();
    let worker_threads = match &command {
        Command::Serve(settings) => settings.worker_threads,
        Command::Operator(_) => DEFAULT_WORKER_THREADS,
    };
    let runtime = match threads::runtime(worker_threads) {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::FAILURE;
        }
    };
    match command {
        Command::Serve(settings) => runtime.block_on(serve::run(settings)),
        Command::Operator(command) => runtime.block_on(operator::run(command)),
    }
}
