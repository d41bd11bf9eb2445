//! The `platform` subcommand: runs a stand-in of the platform's object API.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::{Parser, construct, long};
use yuccatrail_fakes::platform::{FakePlatform, FakePlatformSettings, Seed, SeedError};
use yuccatrail_runtime::shutdown;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    listen: SocketAddr,
    seed_file: Option<PathBuf>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let listen = long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback();
    let seed_file = long("seed-file")
        .help("JSON list of objects to start with, in the form of the object API")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Arguments { listen, seed_file })
}

/// Prints the listening address and serves until a signal stops the process.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let Ok(stop) = shutdown::stop_signal() else { return ExitCode::FAILURE };
    let seed = match read_seed(arguments.seed_file) {
        Ok(seed) => seed,
        Err(error) => {
            eprintln!("cannot read seed file: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings =
        FakePlatformSettings { listen: arguments.listen, ..FakePlatformSettings::default() };
    let platform = match FakePlatform::start(settings).await {
        Ok(platform) => platform,
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", arguments.listen);
            return ExitCode::FAILURE;
        }
    };
    platform.seed(seed);
    println!("listening {}", platform.address());
    stop.cancelled().await;
    platform.close().await;
    ExitCode::SUCCESS
}

fn read_seed(path: Option<PathBuf>) -> Result<Seed, SeedError> {
    let Some(path) = path else {
        return Ok(Seed::default());
    };
    Seed::parse(&std::fs::read(path)?)
}
