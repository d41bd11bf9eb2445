//! Agent process: a sidecar of one upstream, through which all calls to the upstream pass.

mod admin;
mod executor;
mod listed;
mod metrics;
mod run;
mod server;
mod settings;
mod upstream;

use std::process::ExitCode;

use log::error;
use yuccatrail_runtime::{logging, threads};

fn main() -> ExitCode {
    let settings = settings::options().run();
    if let Err(error) = logging::install(settings.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let result =
        threads::runtime(settings.worker_threads).and_then(|it| it.block_on(run::run(settings)));
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:% = error; "agent failed");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}
