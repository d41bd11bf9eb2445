//! Subcommands, one file each.

mod bench;
mod capacity;
mod demo;
mod load;
mod platform;
mod scenarios;
mod upstream;

use std::{path::Path, process::ExitCode};

use bpaf::{Parser, construct};
use serde::Serialize;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Runs the platform stand-in.
    Platform(platform::Arguments),
    /// Runs an upstream stand-in.
    Upstream(upstream::Arguments),
    /// Runs the whole system once with stand-ins.
    Demo,
    /// Measures latency and throughput of the request path.
    Bench(bench::Arguments),
    /// Measures slopes and multiplies them out to the planned size.
    Capacity(capacity::Arguments),
    /// Runs the real processes under load and faults.
    Scenarios(scenarios::Arguments),
    /// Puts load on running entries.
    Load(load::Arguments),
}

/// Parses the command line.
pub(crate) fn parse() -> Command {
    let platform = platform::arguments()
        .map(Command::Platform)
        .to_options()
        .descr("Runs a stand-in of the platform's object API")
        .command("platform");
    let upstream = upstream::arguments()
        .map(Command::Upstream)
        .to_options()
        .descr("Runs a stand-in of an upstream")
        .command("upstream");
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Starts the whole system with stand-ins, sends requests and stops it")
        .command("demo");
    let load = load::arguments()
        .map(Command::Load)
        .to_options()
        .descr("Puts an open-loop load on running entries and compares every answer")
        .command("load");
    let bench = bench::arguments()
        .map(Command::Bench)
        .to_options()
        .descr("Measures latency and throughput of the request path over real processes")
        .command("bench");
    let capacity = capacity::arguments()
        .map(Command::Capacity)
        .to_options()
        .descr("Measures slopes over real processes and multiplies them out to the planned size")
        .command("capacity");
    let scenarios = scenarios::arguments()
        .map(Command::Scenarios)
        .to_options()
        .descr("Runs the real processes under load and faults and checks the promises")
        .command("scenarios");
    construct!([platform, upstream, demo, load, bench, capacity, scenarios])
        .to_options()
        .descr("Stand-ins for tests, demonstrations and measurements")
        .run()
}

/// Runs a subcommand.
pub(crate) async fn run(command: Command) -> ExitCode {
    match command {
        Command::Platform(arguments) => platform::run(arguments).await,
        Command::Upstream(arguments) => upstream::run(arguments).await,
        Command::Demo => demo::run().await,
        Command::Bench(arguments) => bench::run(arguments).await,
        Command::Capacity(arguments) => capacity::run(arguments).await,
        Command::Scenarios(arguments) => scenarios::run(arguments).await,
        Command::Load(arguments) => load::run(arguments).await,
    }
}

/// Writes results as JSON, if a file was asked for.
fn write_json(file: Option<&Path>, results: &impl Serialize) -> ExitCode {
    let Some(file) = file else { return ExitCode::SUCCESS };
    let written = serde_json::to_vec_pretty(results)
        .map_err(std::io::Error::from)
        .and_then(|json| std::fs::write(file, json));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write {}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
