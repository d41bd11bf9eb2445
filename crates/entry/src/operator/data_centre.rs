//! `data-centre`: takes a data centre out of service or brings it back.

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
    let out = operate::subcommand(
        "out",
        "Stop all new work in a data centre; work in progress finishes",
        name(),
        OperationsChange::DataCentreOut,
    );
    let back = operate::subcommand(
        "in",
        "Let a data centre receive new work again",
        name(),
        OperationsChange::DataCentreIn,
    );
    construct!([out, back])
        .map(|(options, change)| Arguments { options, change })
        .to_options()
        .descr("Take a data centre out or bring it back")
        .command("data-centre")
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    operate::run(arguments.options, arguments.change, is_in).await
}

fn name() -> impl Parser<String> {
    positional("NAME").help("Name of the data centre in the instance list")
}

/// Returns whether the instance is in the data centre that a change names.
fn is_in(change: &OperationsChange, instance: &InstanceRecord) -> bool {
    match change {
        OperationsChange::DataCentreOut(name) | OperationsChange::DataCentreIn(name) => {
            instance.data_centre == *name
        }
        _ => false,
    }
}
