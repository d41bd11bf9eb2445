//! `upstream`: makes an upstream leave or return.

use std::process::ExitCode;

use bpaf::{Parser, construct, positional};
use yuccatrail_core::{control::OperationsChange, membership::InstanceRecord};

use super::operate::{self, Options};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    options: Options,
    change: OperationsChange,
}

/// Parses the command.
pub(crate) fn command() -> impl Parser<Arguments> {
    let leave = operate::subcommand(
        "leave",
        "Stop all new work for an upstream; work in progress finishes",
        name(),
        OperationsChange::UpstreamLeave,
    );
    let back = operate::subcommand(
        "return",
        "Let an upstream receive new work again",
        name(),
        OperationsChange::UpstreamReturn,
    );
    construct!([leave, back])
        .map(|(options, change)| Arguments { options, change })
        .to_options()
        .descr("Make an upstream leave or return")
        .command("upstream")
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    operate::run(arguments.options, arguments.change, is_named).await
}

fn name() -> impl Parser<String> {
    positional("NAME").help("Name of the upstream in the instance list")
}

/// Returns whether a change names the instance.
fn is_named(change: &OperationsChange, instance: &InstanceRecord) -> bool {
    match change {
        OperationsChange::UpstreamLeave(name) | OperationsChange::UpstreamReturn(name) => {
            instance.name == *name
        }
        _ => false,
    }
}
