//! Runs a stand-in or a harness as its own process.

mod commands;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    commands::run(commands::parse()).await
}
