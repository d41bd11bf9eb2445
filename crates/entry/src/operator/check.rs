//! `check`: checks a document and reports its faults.

use std::{path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, positional};
use yuccatrail_core::{document, ids::Digest};

use super::{document_file, options, outcome::Outcome};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    json: bool,
    file: PathBuf,
}

/// Parses the command.
pub(crate) fn command() -> impl Parser<Arguments> {
    let json = options::json();
    let file = positional("FILE").help("Environment document in TOML");
    construct!(Arguments { json, file })
        .to_options()
        .descr("Check a document and print its digest or its faults by key and line")
        .footer(options::EXIT_CODES)
        .command("check")
}

/// Runs the command.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    check(arguments).report(arguments.json)
}

fn check(arguments: &Arguments) -> Outcome {
    let text = match document_file::read(&arguments.file) {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    match document::parse(&text) {
        Ok(_) => Outcome::Valid { digest: Digest::of(text.as_bytes()).to_string() },
        Err(faults) => Outcome::faulty(&arguments.file.display().to_string(), &faults),
    }
}
