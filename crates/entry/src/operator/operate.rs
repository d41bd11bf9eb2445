//! Changes of the operational state, for the commands `data-centre` and `upstream`.

use std::process::ExitCode;

use bpaf::{Parser, construct};
use yuccatrail_core::{
    control::{ChangeFlow, ControlUpdate, OperationsChange},
    membership::InstanceRecord,
};
use yuccatrail_platform::{Client, Kind};

use super::{
    change,
    confirm::{ControlPart, confirm},
    options::{self, Connection},
    outcome::{Outcome, eprint_line},
    propagate::Entries,
};

/// Options of a change of the operational state.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    connection: Connection,
    environment: String,
    wait_ms: Option<u64>,
}

/// Parses the subcommand for one direction of a change, such as `out`.
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

/// Makes the change; `applies_to` returns whether it affects a listed instance.
pub(crate) async fn run(
    options: Options,
    change: OperationsChange,
    applies_to: fn(&OperationsChange, &InstanceRecord) -> bool,
) -> ExitCode {
    let client = options.connection.client(&options.environment);
    let outcome = change_operations(&options, &client, change.clone()).await;
    if outcome.exit_code() == 0 {
        warn_if_not_listed(&client, &change, applies_to).await;
    }
    outcome.report(options.connection.json)
}

async fn change_operations(
    options: &Options,
    client: &Client,
    change: OperationsChange,
) -> Outcome {
    let flow = ChangeFlow::change_operations(change, change::new_change_id());
    let deadline = options.connection.deadline();
    let change = change::run_change(client, Kind::Operations, flow, deadline);
    let (entries, finished) = tokio::join!(Entries::listed(client), change);
    if let Some(record) = finished.accepted() {
        let operations = Some(record.clone());
        entries.propagate(ControlUpdate { config: None, operations }).await;
    }
    confirm(finished.into(), client, ControlPart::Operations, options.wait_ms).await
}

/// Warns if the change affects no listed instance.
///
/// The instance list lags, so the name may still be correct and the change is made in any case.
async fn warn_if_not_listed(
    client: &Client,
    change: &OperationsChange,
    applies_to: fn(&OperationsChange, &InstanceRecord) -> bool,
) {
    let Ok(list) = client.list::<InstanceRecord>(Kind::Instances).await else { return };
    for object in &list.objects {
        if applies_to(change, &object.spec) {
            return;
        }
    }
    eprint_line(&format!("warning: `{change}` concerns no instance in the instance list"));
}
