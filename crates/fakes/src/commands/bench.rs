//! The `bench` subcommand: measures latency and throughput of the request path over real processes.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::{
    bench::{overhead, report::BenchReport, throughput},
    measure::machine::Machine,
    stack::{
        plan::StackPlan,
        run::{Stack, StackError},
    },
};

/// Numbers of concurrent callers in the throughput rounds.
const CALLER_COUNTS: [usize; 3] = [16, 64, 128];
/// Number of upstreams in the service pool for the throughput rounds.
const SERVICE_UPSTREAMS: usize = 8;
/// Maximum number of rounds of each measurement.
const MAX_ROUNDS: usize = 20;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    rounds: usize,
    round_ms: u64,
    json: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let rounds = long("rounds")
        .help("Rounds of each measurement, up to 20")
        .argument("NUMBER")
        .guard(|it| *it > 0 && *it <= MAX_ROUNDS, "rounds must be between 1 and 20")
        .fallback(3)
        .display_fallback();
    let round_ms = long("round-ms")
        .help("Length of a round in milliseconds, up to 10000")
        .argument("MS")
        .guard(|it| *it > 0 && *it <= 10_000, "round-ms must be between 1 and 10000")
        .fallback(1000)
        .display_fallback();
    let json = long("json").help("File for the results as JSON").argument("FILE").optional();
    construct!(Arguments { rounds, round_ms, json })
}

/// Runs the benchmark and prints its results.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    if cfg!(debug_assertions) {
        eprintln!("warning: measuring a debug build; results of a release build differ");
    }
    let report = match measure(&arguments).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("benchmark failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.table());
    super::write_json(arguments.json.as_deref(), &report)
}

async fn measure(arguments: &Arguments) -> Result<BenchReport, StackError> {
    let machine = Machine::describe();
    let round_duration = Duration::from_millis(arguments.round_ms);
    let stack = Stack::start(StackPlan::sized(1, 1)).await?;
    let overhead = overhead::measure(&stack, arguments.rounds, round_duration).await?;
    stack.close().await?;
    let stack = Stack::start(StackPlan::service_only(SERVICE_UPSTREAMS)).await?;
    // Opens connections and warms the upstreams; its result is dropped.
    throughput::measure(&stack, CALLER_COUNTS[0], round_duration).await;
    let mut throughput_rounds = Vec::new();
    for callers in CALLER_COUNTS {
        for _ in 0..arguments.rounds {
            throughput_rounds.push(throughput::measure(&stack, callers, round_duration).await);
        }
    }
    stack.close().await?;
    Ok(BenchReport { machine, overhead, throughput: throughput_rounds })
}
