//! Settings of the entry from flags and environment variables.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{Parser, construct, long};
use log::LevelFilter;
use yuccatrail_runtime::threads::DEFAULT_WORKER_THREADS;

/// Settings of one entry process.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of the entry instance in the platform's list.
    pub(crate) name: String,
    /// Data centre that the entry stands in.
    pub(crate) data_centre: String,
    /// Address on which callers reach the entry.
    pub(crate) listen: SocketAddr,
    /// Address on which other entries reach the entry.
    pub(crate) peer_listen: SocketAddr,
    /// Address of the platform's object API.
    pub(crate) platform: SocketAddr,
    /// Environment whose configuration is served.
    pub(crate) environment: String,
    /// Shortest time for which a stopping entry refuses requests before it exits, in milliseconds.
    pub(crate) stop_notice_ms: u64,
    /// Longest time that a planned stop waits for work in progress, in milliseconds.
    pub(crate) stop_limit_ms: u64,
    /// Least severe level that is logged.
    pub(crate) log_level: LevelFilter,
    /// Threads that run the process's tasks.
    pub(crate) worker_threads: NonZeroUsize,
}

/// Parses the flags and the environment.
pub(crate) fn options() -> impl Parser<Settings> {
    let name = long("name")
        .env("YUCCATRAIL_NAME")
        .help("Name of the entry instance")
        .argument::<String>("NAME")
        .guard(not_empty, "name must not be empty");
    let data_centre = long("data-centre")
        .env("YUCCATRAIL_DATA_CENTRE")
        .help("Data centre that the entry stands in")
        .argument::<String>("NAME")
        .guard(not_empty, "data-centre must not be empty");
    let listen = long("listen")
        .env("YUCCATRAIL_LISTEN")
        .help("Address on which callers reach the entry")
        .argument("ADDRESS");
    let peer_listen = long("peer-listen")
        .env("YUCCATRAIL_PEER_LISTEN")
        .help("Address on which other entries reach the entry")
        .argument("ADDRESS");
    let platform = long("platform")
        .env("YUCCATRAIL_PLATFORM")
        .help("Address of the platform's object API")
        .argument("ADDRESS");
    let environment = long("environment")
        .env("YUCCATRAIL_ENVIRONMENT")
        .help("Environment whose configuration is served")
        .argument::<String>("NAME")
        .guard(not_empty, "environment must not be empty")
        .fallback("production".to_owned());
    let stop_notice_ms = long("stop-notice-ms")
        .env("YUCCATRAIL_STOP_NOTICE_MS")
        .help("Shortest time for which a stopping entry refuses requests, in milliseconds")
        .argument("MS")
        .fallback(500);
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
        data_centre,
        listen,
        peer_listen,
        platform,
        environment,
        stop_notice_ms,
        stop_limit_ms,
        log_level,
        worker_threads,
    })
}

#[allow(clippy::ptr_arg)] // the parser's guard passes the parsed type
fn not_empty(text: &String) -> bool {
    !text.is_empty()
}
