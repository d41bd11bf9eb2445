//! Settings of the agent from flags and environment variables.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{OptionParser, Parser, construct, long};
use log::LevelFilter;
use yuccatrail_runtime::threads::DEFAULT_WORKER_THREADS;

/// Settings of one agent process.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of the upstream instance in the platform's list.
    pub(crate) name: String,
    /// Pool that the upstream belongs to.
    pub(crate) pool: String,
    /// Data centre that the upstream stands in.
    pub(crate) data_centre: String,
    /// Address on which entries reach the agent.
    pub(crate) listen: SocketAddr,
    /// Address of the health and metrics endpoint.
    pub(crate) admin_listen: SocketAddr,
    /// Address of the upstream.
    pub(crate) upstream: SocketAddr,
    /// Time between two probes of the upstream, in milliseconds.
    pub(crate) probe_interval_ms: u64,
    /// Longest time that a planned stop waits for work in progress, in milliseconds.
    pub(crate) stop_limit_ms: u64,
    /// Least severe level that is logged.
    pub(crate) log_level: LevelFilter,
    /// Threads that run the process's tasks.
    pub(crate) worker_threads: NonZeroUsize,
}

/// Parses the command line and the environment.
pub(crate) fn options() -> OptionParser<Settings> {
    let name = long("name")
        .env("YUCCATRAIL_NAME")
        .help("Name of the upstream instance")
        .argument::<String>("NAME")
        .guard(not_empty, "name must not be empty");
    let pool = long("pool")
        .env("YUCCATRAIL_POOL")
        .help("Pool that the upstream belongs to")
        .argument::<String>("POOL")
        .guard(not_empty, "pool must not be empty");
    let data_centre = long("data-centre")
        .env("YUCCATRAIL_DATA_CENTRE")
        .help("Data centre that the upstream stands in")
        .argument::<String>("NAME")
        .guard(not_empty, "data-centre must not be empty");
    let listen = long("listen")
        .env("YUCCATRAIL_LISTEN")
        .help("Address on which entries reach the agent")
        .argument("ADDRESS");
    let admin_listen = long("admin-listen")
        .env("YUCCATRAIL_ADMIN_LISTEN")
        .help("Address of the health and metrics endpoint")
        .argument("ADDRESS");
    let upstream = long("upstream")
        .env("YUCCATRAIL_UPSTREAM")
        .help("Address of the upstream")
        .argument("ADDRESS");
    let probe_interval_ms = long("probe-interval-ms")
        .env("YUCCATRAIL_PROBE_INTERVAL_MS")
        .help("Time between two probes of the upstream in milliseconds")
        .argument("MS")
        .guard(|it| *it > 0, "probe-interval-ms must be positive")
        .fallback(250);
    let stop_limit_ms = long("stop-limit-ms")
        .env("YUCCATRAIL_STOP_LIMIT_MS")
        .help("Longest wait of a planned stop for work in progress in milliseconds")
        .argument("MS")
        .fallback(60_000);
    let log_level = long("log-level")
        .env("YUCCATRAIL_LOG_LEVEL")
        .help("Least severe level that is logged: off, error, warn, info, debug or trace")
        .argument("LEVEL")
        .fallback(LevelFilter::Info);
    let worker_threads = long("worker-threads")
        .env("YUCCATRAIL_WORKER_THREADS")
        .help("Threads that run the process's tasks")
        .argument("NUMBER")
        .fallback(DEFAULT_WORKER_THREADS)
        .display_fallback();
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

#[allow(clippy::ptr_arg)] // the parser's guard passes the parsed type
fn not_empty(text: &String) -> bool {
    !text.is_empty()
}
