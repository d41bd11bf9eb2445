//! The `upstream` subcommand: runs a stand-in of an upstream.

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use bpaf::{Parser, construct, long};
use tokio::net::TcpListener;
use yuccatrail_fakes::upstream::{
    server,
    state::{Upstream, UpstreamSwitches},
};
use yuccatrail_runtime::shutdown;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    listen: SocketAddr,
    switches: UpstreamSwitches,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> impl Parser<Arguments> {
    let listen = long("listen").help("Address to listen on").argument("ADDRESS");
    let switches = long("switches")
        .help("Initial switches as JSON")
        .argument::<String>("JSON")
        .parse(|text| serde_json::from_str::<UpstreamSwitches>(&text))
        .fallback(UpstreamSwitches::default());
    construct!(Arguments { listen, switches })
}

/// Prints the listening address and serves until a signal stops the process.
pub(crate) async fn run(arguments: Arguments) -> ExitCode {
    let Ok(stop) = shutdown::stop_signal() else { return ExitCode::FAILURE };
    let Ok(listener) = TcpListener::bind(arguments.listen).await else { return ExitCode::FAILURE };
    let Ok(address) = listener.local_addr() else { return ExitCode::FAILURE };
    println!("listening {address}");
    let upstream = Arc::new(Upstream::new(arguments.switches, rand::random::<u32>().into()));
    server::serve(listener, upstream, stop).await;
    ExitCode::SUCCESS
}
