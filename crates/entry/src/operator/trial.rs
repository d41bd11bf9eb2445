//! `trial`: applies a document to the trial environment.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long, positional};
use yuccatrail_core::control::ChangeFlow;

use super::{
    change,
    confirm::{ControlPart, confirm},
    document_file,
    options::{self, Connection},
    outcome::Outcome,
};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    connection: Connection,
    environment: String,
    expect_version: Option<u64>,
    wait_ms: Option<u64>,
    file: PathBuf,
}

/// Parses the command.
pub(crate) fn command() -> impl Parser<Arguments> {
    let connection = options::connection();
    // YUCCATRAIL_ENVIRONMENT is not read here, because it usually names the production environment.
    let environment = long("environment")
        .env("YUCCATRAIL_TRIAL_ENVIRONMENT")
        .help("Environment in which the document is tried")
        .argument("NAME")
        .fallback("trial".to_owned())
        .display_fallback();
    let expect_version = options::expect_version();
    let wait_ms = options::wait_ms();
    let file = positional("FILE").help("Environment document in TOML");
    construct!(Arguments { connection, environment, expect_version, wait_ms, file })
        .to_options()
        .descr("Check a document and put it into force in the trial environment")
        .footer(options::EXIT_CODES)
        .command("trial")
}

/// Runs the command.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    trial(&arguments).await.report(arguments.connection.json)
}

async fn trial(arguments: &Arguments) -> Outcome {
    let text = match document_file::read(&arguments.file) {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    let flow = match ChangeFlow::promote(text, arguments.expect_version, change::new_change_id()) {
        Ok(flow) => flow,
        Err(faults) => return Outcome::faulty(&arguments.file.display().to_string(), &faults),
    };
    let client = arguments.connection.client(&arguments.environment);
    let deadline = arguments.connection.deadline();
    let finished = change::apply_document(&client, flow, deadline).await;
    confirm(finished.into(), &client, ControlPart::Config, arguments.wait_ms).await
}
