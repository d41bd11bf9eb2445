//! Entry instances that serve callers, and the operators' command line.

mod caller;
mod entry;
mod fleet;
mod gossip;
mod link;
mod metrics;
mod operator;
mod platform_feed;
mod policy;
mod relay;
mod run;
mod serve;
mod settings;
mod strikes;

use std::{ffi::OsString, process::ExitCode};

use bpaf::{Args, OptionParser, Parser, construct};
use yuccatrail_runtime::threads::{self, DEFAULT_WORKER_THREADS};

use crate::{relay::RelaySettings, settings::Settings};

/// Width of help and error messages, in columns.
const MESSAGE_WIDTH: usize = 100;

/// Subcommands of the binary.
#[derive(Clone, Debug)]
enum Command {
    /// Runs the entry instance.
    Serve(Settings),
    /// Runs an entry instance in front of upstreams without agents.
    Relay(RelaySettings),
    /// Runs an operator command.
    Operator(operator::Command),
}

fn options() -> OptionParser<Command> {
    let serve = settings::options()
        .to_options()
        .descr("Serve callers: the entry instance behind the platform's balancer")
        .command("serve")
        .map(Command::Serve);
    let relay = relay::options()
        .to_options()
        .descr("Serve callers in front of upstreams without agents, on the users' platform")
        .command("relay")
        .map(Command::Relay);
    let operator = operator::command().map(Command::Operator);
    construct!([serve, relay, operator])
        .to_options()
        .descr("Serving system for multi-stage model pipelines")
}

/// Parses the command line, extended by the settings that the platform renders for a relay.
fn command() -> Result<Command, ExitCode> {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let arguments = match relay::with_rendered_settings(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}");
            return Err(ExitCode::FAILURE);
        }
    };
    options().run_inner(Args::from(arguments.as_slice())).map_err(|failure| {
        failure.print_message(MESSAGE_WIDTH);
        ExitCode::from(failure.exit_code() as u8)
    })
}

fn main() -> ExitCode {
    let command = match command() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let runtime = match &command {
        Command::Serve(settings) => threads::runtime(settings.worker_threads),
        Command::Relay(_) => threads::single_threaded(),
        Command::Operator(_) => threads::runtime(DEFAULT_WORKER_THREADS),
    };
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = match command {
        Command::Serve(settings) => runtime.block_on(serve::run(settings)),
        Command::Relay(settings) => runtime.block_on(relay::run(settings)),
        Command::Operator(command) => runtime.block_on(operator::run(command)),
    };
    log::logger().flush();
    code
}
