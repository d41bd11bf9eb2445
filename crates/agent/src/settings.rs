//! Settings of the agent, read from flags and environment variables.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{OptionParser, Parser, construct, long};
use log::LevelFilter;
use yuccatrail_runtime::settings;

/// Settings of one agent process.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of the upstream instance in the platform's list.
    pub(crate) name: String,
    /// Pool that the upstream belongs to.
    pub(crate) pool: String,
    /// Data centre that the upstream runs in.
    pub(crate) data_centre: String,
    /// Address on which the agent accepts calls of entries.
    pub(crate) listen: SocketAddr,
    /// Address of the health and metrics endpoint.
    pub(crate) admin_listen: SocketAddr,
    /// Address of the upstream.
    pub(crate) upstream: SocketAddr,
    /// Time between two probes of the upstream, in milliseconds.
    pub(crate) probe_interval_ms: u64,
    /// Maximum time for which a graceful shutdown waits for work in progress, in milliseconds.
    pub(crate) stop_limit_ms: u64,
    /// Least severe log level that is written.
    pub(crate) log_level: LevelFilter,
    /// Number of worker threads of the runtime.
    pub(crate) worker_threads: NonZeroUsize,
}

/// Parses the command line and the environment.
pub(crate) fn options() -> OptionParser<Settings> {
    let name = settings::name();
    let pool = long("pool")
        .env("YUCCATRAIL_POOL")
        .help("Pool that the upstream belongs to")
        .argument::<String>("POOL")
        .guard(settings::is_not_empty, "pool must not be empty");
    let data_centre = settings::data_centre();
    let listen = settings::address(
        "listen",
        "YUCCATRAIL_LISTEN",
        "Address on which entries reach the agent",
    );
    let admin_listen = settings::address(
        "admin-listen",
        "YUCCATRAIL_ADMIN_LISTEN",
        "Address of the health and metrics endpoint",
    );
    let upstream = settings::address("upstream", "YUCCATRAIL_UPSTREAM", "Address of the upstream");
    let probe_interval_ms = long("probe-interval-ms")
        .env("YUCCATRAIL_PROBE_INTERVAL_MS")
        .help("Time between two probes of the upstream in milliseconds")
        .argument("MS")
        .guard(|it| *it > 0, "probe-interval-ms must be positive")
        .fallback(250);
    let stop_limit_ms = settings::stop_limit_ms();
    let log_level = settings::log_level();
    let worker_threads = settings::worker_threads();
    construct!(Settings {
        name,
        pool,
        data_centre,
        listen,
        admin_listen,
        upstream,
        probe_interval_ms,
        stop_limit_ms,
        log_level,
        worker_threads,
    })
    .to_options()
    .descr("The process beside one upstream: all work for the upstream passes it")
}
