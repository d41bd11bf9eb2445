//! The `bench` subcommand: latency and throughput of the request path over real processes.

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

/// Callers of the throughput rounds.
const CALLERS: [usize; 3] = [16, 64, 128];
/// Upstreams of the service pool in the throughput rounds.
const SERVICE_UPSTREAMS: usize = 8;
/// Most rounds.
const MAX_ROUNDS: usize = 20;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    rounds: usize,
    round_ms: u64,
    json: Option<PathBuf>,
}

/// Parses the arguments.
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
        eprintln!("this is a debug build; figures of a release build differ");
    }
    let report = match measure(&arguments).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("bench failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.table());
    super::write_json(arguments.json.as_deref(), &report)
}

async fn measure(arguments: &Arguments) -> Result<BenchReport, StackError> {
    let machine = Machine::describe();
    let length = Duration::from_millis(arguments.round_ms);
    let stack = Stack::start(StackPlan::sized(1, 1)).await?;
    let overhead = overhead::measure(&stack, arguments.rounds, length).await?;
    stack.close().await?;
    let stack = Stack::start(StackPlan::service_only(SERVICE_UPSTREAMS)).await?;
    // The first round warms connections and upstreams up.
    throughput::measure(&stack, CALLERS[0], length).await;
    let mut rounds = Vec::new();
    for callers in CALLERS {
        for _ in 0..arguments.rounds {
            rounds.push(throughput::measure(&stack, callers, length).await);
        }
    }
    stack.close().await?;
    Ok(BenchReport { machine, overhead, throughput: rounds })
}
