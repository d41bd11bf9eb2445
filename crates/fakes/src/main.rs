//! Runs the stand-ins as processes of their own.

mod commands;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    commands::run(commands::parse()).await
}
