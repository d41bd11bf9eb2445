//! The `load` subcommand: sends an open-loop load to running entries.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::load::{
    plan::{Mix, Phase},
    report::LoadReport,
    run::{self, LoadSettings},
    tally::Deadlines,
};

/// Maximum mean number of calls in one load.
const MAX_CALLS: f64 = 200_000.0;
/// Maximum duration of a load, in seconds.
const MAX_SECONDS: f64 = 120.0;
/// Deadlines that the demo configuration sets.
const DEADLINES: Deadlines = Deadlines { pipeline_ms: 8_000, service_ms: 4_000 };

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    entries: Vec<SocketAddr>,
    rate: f64,
    seconds: f64,
    seed: u64,
    json: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let entries = long("entry")
        .help("Address of an entry on loopback; repeatable")
        .argument::<SocketAddr>("ADDRESS")
        .guard(|it| it.ip().is_loopback(), "the load goes to loopback addresses only")
        .some("name at least one entry");
    let rate = long("rate")
        .help("Mean number of calls a second")
        .argument::<f64>("RATE")
        .guard(|it| it.is_finite() && *it > 0.0, "rate must be positive")
        .fallback(50.0)
        .display_fallback();
    let seconds = long("seconds")
        .help("Length of the load in seconds, up to 120")
        .argument::<f64>("S")
        .guard(|it| *it > 0.0 && *it <= MAX_SECONDS, "seconds must be between 0 and 120")
        .fallback(5.0)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of the random numbers")
        .argument("NUMBER")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("File for the results as JSON").argument("FILE").optional();
    construct!(Arguments { entries, rate, seconds, seed, json })
        .guard(|it| it.rate * it.seconds <= MAX_CALLS, "a load has at most 200000 calls")
}

/// Runs the load and prints its results.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let phase =
        Phase { seconds: arguments.seconds, rate_per_second: arguments.rate, mix: Mix::demo() };
    let settings = LoadSettings {
        entries: arguments.entries,
        phases: vec![phase],
        seed: arguments.seed,
        key_prefix: format!("load-{:08x}", rand::random::<u32>()),
        deadlines: DEADLINES,
    };
    let report = LoadReport::of(&run::run(&settings).await);
    print!("{}", report.table());
    super::write_json(arguments.json.as_deref(), &report)
}
