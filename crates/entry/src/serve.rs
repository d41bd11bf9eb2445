//! The `serve` subcommand: wires the entry's parts together.

use std::{io, process::ExitCode, sync::Arc};

use log::{LevelFilter, error, info};
use tokio::net::TcpListener;
use yuccatrail_core::ids::Incarnation;
use yuccatrail_platform::{Client, ClientSettings};
use yuccatrail_runtime::{http, logging, shutdown};

use crate::{caller::routes, entry::Entry, platform_feed, settings::Settings};

/// Serves callers until a planned stop has finished.
pub(crate) async fn run(settings: Settings) -> ExitCode {
    if let Err(error) = logging::install(LevelFilter::Info) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match serve(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:% = error; "entry failed");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings) -> io::Result<()> {
    let stop = shutdown::stop_signal()?;
    let listener = TcpListener::bind(settings.listen).await?;
    let entry = Arc::new(Entry::new(&settings, Incarnation(rand::random())));
    let client = Client::new(ClientSettings {
        address: settings.platform,
        environment: settings.environment.clone(),
        ..ClientSettings::default()
    });
    let feed = tokio::spawn(platform_feed::run(entry.clone(), client, stop.clone()));
    info!(address:% = listener.local_addr()?, name:% = settings.name; "listening");
    http::serve(listener, stop, move |request| routes::handle(entry.clone(), request)).await;
    // The feed ends with the stop signal; a failure of its task changes nothing any more.
    let _ = feed.await;
    Ok(())
}
