//! Changes of the operational state, shared by `data-centre` and `upstream`.

use std::process::ExitCode;

use bpaf::{Parser, construct};
use yuccatrail_core::{
    control::{ChangeFlow, ControlUpdate, OperationsChange},
    membership::InstanceRecord,
};
use yuccatrail_platform::{Client, Kind};

use super::{
    announce::Entries,
    change,
    confirm::{Part, confirm},
    options::{self, Connection},
    outcome::{Outcome, eprint_line},
};

/// Options of a change of the operational state.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    connection: Connection,
    environment: String,
    wait_ms: Option<u64>,
}

/// Parses one direction of a change, such as `out`.
pub(crate) fn subcommand(
    name: &'static str,
    description: &'static str,
    target: impl Parser<String> + 'static,
    change: fn(String) -> OperationsChange,
) -> impl Parser<(Options, OperationsChange)> {
    let connection = options::connection();
    let environment = options::environment();
    let wait_ms = options::wait_ms();
    let options = construct!(Options { connection, environment, wait_ms });
    let change = target.map(change);
    construct!(options, change)
        .to_options()
        .descr(description)
        .footer(options::EXIT_CODES)
        .command(name)
}

/// Makes the change; `concerns` tells which listed instances it is about.
pub(crate) async fn run(
    options: Options,
    change: OperationsChange,
    concerns: fn(&OperationsChange, &InstanceRecord) -> bool,
) -> ExitCode {
    let client = options.connection.client(&options.environment);
    let outcome = operate(&options, &client, change.clone()).await;
    if outcome.exit_code() == 0 {
        warn_if_unlisted(&client, &change, concerns).await;
    }
    outcome.report(options.connection.json)
}

async fn operate(options: &Options, client: &Client, change: OperationsChange) -> Outcome {
    let flow = ChangeFlow::change_operations(change, change::new_author());
    let deadline = options.connection.deadline();
    let change = change::carry_out(client, Kind::Operations, flow, deadline);
    let (entries, settled) = tokio::join!(Entries::listed(client), change);
    if let Some(record) = settled.accepted() {
        let operations = Some(record.clone());
        entries.announce(ControlUpdate { config: None, operations }).await;
    }
    confirm(settled.into(), client, Part::Operations, options.wait_ms).await
}

/// Warns about a name that no listed instance has.
///
/// The list lags, so the name may still be right and the change is made in any case.
async fn warn_if_unlisted(
    client: &Client,
    change: &OperationsChange,
    concerns: fn(&OperationsChange, &InstanceRecord) -> bool,
) {
    let Ok(list) = client.list::<InstanceRecord>(Kind::Instances).await else { return };
    for object in &list.objects {
        if concerns(change, &object.spec) {
            return;
        }
    }
    eprint_line(&format!("warning: `{change}` concerns no instance in the instance list"));
}
