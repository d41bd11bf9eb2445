//! Command line: one module for each subcommand.

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
    /// Runs a stand-in of the platform's object API.
    Platform(platform::Arguments),
    /// Runs a stand-in of an upstream.
    Upstream(upstream::Arguments),
    /// Starts the whole system with stand-ins, sends requests and stops it.
    Demo,
    /// Measures latency and throughput of the request path.
    Bench(bench::Arguments),
    /// Measures how costs scale and extrapolates them to the planned size.
    Capacity(capacity::Arguments),
    /// Runs the real processes under load and injected faults, and checks guarantees.
    Scenarios(scenarios::Arguments),
    /// Sends an open-loop load to running entries.
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
        .descr("Sends an open-loop load to running entries and checks every response")
        .command("load");
    let bench = bench::arguments()
        .map(Command::Bench)
        .to_options()
        .descr("Measures latency and throughput of the request path over real processes")
        .command("bench");
    let capacity = capacity::arguments()
        .map(Command::Capacity)
        .to_options()
        .descr("Measures slopes over real processes and extrapolates them to the planned size")
        .command("capacity");
    let scenarios = scenarios::arguments()
        .map(Command::Scenarios)
        .to_options()
        .descr("Runs the real processes under load and injected faults and checks the guarantees")
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

/// Writes results as JSON if a file is given.
fn write_json(file: Option<&Path>, results: &impl Serialize) -> ExitCode {
    let Some(file) = file else { return ExitCode::SUCCESS };
    let written = serde_json::to_vec_pretty(results)
        .map_err(std::io::Error::from)
        .and_then(|json| std::fs::write(file, json));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write results to {}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
