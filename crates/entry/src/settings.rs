//! Settings of the entry, from flags and environment variables.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{Parser, construct, long};
use log::LevelFilter;
use yuccatrail_runtime::settings;

/// Memory of the machine unless the settings state another one, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Least memory with which an entry serves callers, in megabytes.
const MIN_MEMORY_MB: f64 = 64.0;
/// File descriptors of the machine unless the settings state another number.
const DEFAULT_DESCRIPTORS: f64 = 4_096.0;
/// Fewest file descriptors with which an entry serves callers.
const MIN_DESCRIPTORS: f64 = 300.0;
/// Descriptors for files, listeners, peers and the platform.
const OWN_DESCRIPTORS: usize = 200;
/// Memory of a connection that waits for a request, in bytes.
const CONNECTION_BYTES: usize = 16 * 1024;

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
    /// What the process may use of its machine.
    pub(crate) machine: MachineLimits,
    /// Number of threads that run the process's tasks.
    pub(crate) worker_threads: NonZeroUsize,
}

/// What a process may use of its machine; each use has a part, so that they fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MachineLimits {
    /// Memory, in megabytes.
    pub(crate) memory_mb: usize,
    /// File descriptors.
    pub(crate) file_descriptors: usize,
}

impl MachineLimits {
    /// Returns the memory for the bodies of callers' requests, in bytes.
    pub(crate) fn request_body_bytes(self) -> usize {
        self.memory_mb * 1024 * 1024 / 4
    }

    /// Returns the memory for responses on their way to callers, in bytes; a growing buffer may take twice as much.
    pub(crate) fn response_bytes(self) -> usize {
        self.memory_mb * 1024 * 1024 / 8
    }

    /// Returns the largest number of callers' connections: their buffers take an eighth of the memory, and
    /// each request may need a connection to an upstream.
    pub(crate) fn caller_connections(self) -> usize {
        let by_memory = self.memory_mb * 1024 * 1024 / 8 / CONNECTION_BYTES;
        let by_descriptors = self.file_descriptors.saturating_sub(OWN_DESCRIPTORS) / 2;
        by_memory.min(by_descriptors)
    }
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
    let machine = machine();
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
        machine,
        worker_threads,
    })
}

/// Parses what the process may use of its machine.
pub(crate) fn machine() -> impl Parser<MachineLimits> {
    let memory_mb = long("memory-limit-mb")
        .env("YUCCATRAIL_MEMORY_LIMIT_MB")
        .help("Memory that the process may use, in megabytes")
        .argument("MB")
        .guard(|it: &f64| *it >= MIN_MEMORY_MB, "memory-limit-mb must be at least 64")
        .fallback(DEFAULT_MEMORY_MB)
        .display_fallback()
        .map(|it| it as usize);
    let file_descriptors = long("file-descriptor-limit")
        .env("YUCCATRAIL_FILE_DESCRIPTOR_LIMIT")
        .help("File descriptors that the process may have open")
        .argument("NUMBER")
        .guard(|it: &f64| *it >= MIN_DESCRIPTORS, "file-descriptor-limit must be at least 300")
        .fallback(DEFAULT_DESCRIPTORS)
        .display_fallback()
        .map(|it| it as usize);
    construct!(MachineLimits { memory_mb, file_descriptors })
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
