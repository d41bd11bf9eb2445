//! The process beside one upstream, through which all work for the upstream passes.

mod executor;
mod server;
mod settings;
mod upstream;

use std::{io, process::ExitCode, sync::Arc};

use log::{LevelFilter, error, info};
use tokio::net::TcpListener;
use yuccatrail_core::ids::Incarnation;
use yuccatrail_runtime::{clock::Clock, control::SharedControl, logging, shutdown};

use crate::{executor::Executor, server::Connection, settings::Settings, upstream::UpstreamClient};

#[tokio::main]
async fn main() -> ExitCode {
    let settings = settings::options().run();
    if let Err(error) = logging::install(LevelFilter::Info) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:% = error; "agent failed");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> io::Result<()> {
    let stop = shutdown::stop_signal()?;
    let listener = TcpListener::bind(settings.listen).await?;
    let incarnation = Incarnation(rand::random());
    let control = Arc::new(SharedControl::new());
    let upstream = UpstreamClient::new(settings.upstream);
    let executor = Executor::new(incarnation, Clock::new(), upstream, control.clone());
    info!(address:% = listener.local_addr()?, name:% = settings.name; "listening");
    server::serve(listener, Connection { executor, control }, stop).await;
    Ok(())
}
