//! Settings of the entry, from flags and environment variables.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{Parser, construct, long};
use log::LevelFilter;
use yuccatrail_runtime::settings;

/// Memory of the machine unless the settings state another one, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Least memory with which an entry serves callers, in megabytes.
const MIN_MEMORY_MB: f64 = 64.0;

/// Settings of one entry process.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name of the entry in the platform's instance list.
    pub(crate) name: String,
    /// Data centre of the entry.
    pub(crate) data_centre: String,
    /// Address on which callers reach the entry.
    pub(crate) listen: SocketAddr,
    /// Address on which other entries reach the entry.
    pub(crate) peer_listen: SocketAddr,
    /// Address of the platform's object API.
    pub(crate) platform: SocketAddr,
    /// Environment whose configuration is served.
    pub(crate) environment: String,
    /// Minimum time for which a stopping entry refuses requests before it exits, in milliseconds.
    pub(crate) stop_notice_ms: u64,
    /// Maximum time for which a graceful shutdown waits for work in progress, in milliseconds.
    pub(crate) stop_limit_ms: u64,
    /// Least severe level that is logged.
    pub(crate) log_level: LevelFilter,
    /// Memory that the process may use, in megabytes.
    pub(crate) memory_mb: usize,
    /// Number of threads that run the process's tasks.
    pub(crate) worker_threads: NonZeroUsize,
}

/// Parses the flags and environment variables.
pub(crate) fn options() -> impl Parser<Settings> {
    let name = settings::name();
    let data_centre = settings::data_centre();
    let listen = listen();
    let peer_listen = peer_listen();
    let platform = platform();
    let environment = long("environment")
        .env("YUCCATRAIL_ENVIRONMENT")
        .help("Environment whose configuration is served")
        .argument::<String>("NAME")
        .guard(settings::is_not_empty, "environment must not be empty")
        .fallback("production".to_owned());
    let stop_notice_ms = long("stop-notice-ms")
        .env("YUCCATRAIL_STOP_NOTICE_MS")
        .help("Shortest time for which a stopping entry refuses requests, in milliseconds")
        .argument("MS")
        .fallback(500);
    let stop_limit_ms = settings::stop_limit_ms();
    let log_level = settings::log_level();
    let memory_mb = memory_mb();
    let worker_threads = settings::worker_threads();
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
        memory_mb,
        worker_threads,
    })
}

/// Parses the memory that the process may use, in megabytes.
pub(crate) fn memory_mb() -> impl Parser<usize> {
    long("memory-limit-mb")
        .env("YUCCATRAIL_MEMORY_LIMIT_MB")
        .help("Memory that the process may use, in megabytes")
        .argument("MB")
        .guard(|it: &f64| *it >= MIN_MEMORY_MB, "memory-limit-mb must be at least 64")
        .fallback(DEFAULT_MEMORY_MB)
        .display_fallback()
        .map(|it| it as usize)
}

/// Returns the part of the memory for the bodies of callers' requests, in bytes.
pub(crate) fn request_body_bytes(memory_mb: usize) -> usize {
    memory_mb * 1024 * 1024 / 4
}

/// Parses the address on which callers reach the entry.
pub(crate) fn listen() -> impl Parser<SocketAddr> {
    settings::address("listen", "YUCCATRAIL_LISTEN", "Address on which callers reach the entry")
}

/// Parses the address on which other entries reach the entry.
pub(crate) fn peer_listen() -> impl Parser<SocketAddr> {
    settings::address(
        "peer-listen",
        "YUCCATRAIL_PEER_LISTEN",
        "Address on which other entries reach the entry",
    )
}

/// Parses the address of the platform's object API.
pub(crate) fn platform() -> impl Parser<SocketAddr> {
    settings::address("platform", "YUCCATRAIL_PLATFORM", "Address of the platform's object API")
}
