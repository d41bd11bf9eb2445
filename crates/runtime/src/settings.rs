//! Settings from flags and environment variables that the binaries have in common.

use std::{net::SocketAddr, num::NonZeroUsize};

use bpaf::{Parser, long};
use log::LevelFilter;

use crate::threads::DEFAULT_WORKER_THREADS;

/// Default of the longest time that a graceful shutdown waits for work in progress, in
/// milliseconds.
const DEFAULT_STOP_LIMIT_MS: u64 = 60_000;

/// Parses the name of the instance in the platform's list.
pub fn name() -> impl Parser<String> {
    long("name")
        .env("YUCCATRAIL_NAME")
        .help("Name of the instance in the platform's list")
        .argument::<String>("NAME")
        .guard(is_not_empty, "name must not be empty")
}

/// Parses the data centre that the instance runs in.
pub fn data_centre() -> impl Parser<String> {
    long("data-centre")
        .env("YUCCATRAIL_DATA_CENTRE")
        .help("Data centre that the instance stands in")
        .argument::<String>("NAME")
        .guard(is_not_empty, "data-centre must not be empty")
}

/// Parses an address from a flag and its environment variable.
pub fn address(
    flag: &'static str,
    variable: &'static str,
    help: &'static str,
) -> impl Parser<SocketAddr> {
    long(flag).env(variable).help(help).argument("ADDRESS")
}

/// Parses the longest time that a graceful shutdown waits for work in progress, in milliseconds.
pub fn stop_limit_ms() -> impl Parser<u64> {
    long("stop-limit-ms")
        .env("YUCCATRAIL_STOP_LIMIT_MS")
        .help("Longest wait of a planned stop for work in progress, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_STOP_LIMIT_MS)
        .display_fallback()
}

/// Parses the least severe log level that is written.
pub fn log_level() -> impl Parser<LevelFilter> {
    long("log-level")
        .env("YUCCATRAIL_LOG_LEVEL")
        .help("Least severe level that is logged: off, error, warn, info, debug or trace")
        .argument("LEVEL")
        .fallback(LevelFilter::Info)
        .display_fallback()
}

/// Parses the number of worker threads of the runtime.
pub fn worker_threads() -> impl Parser<NonZeroUsize> {
    long("worker-threads")
        .env("YUCCATRAIL_WORKER_THREADS")
        .help("Threads that run the process's tasks")
        .argument("NUMBER")
        .fallback(DEFAULT_WORKER_THREADS)
        .display_fallback()
}

/// Tells whether a text setting is not empty, as a guard of its parser.
#[allow(clippy::ptr_arg)] // a guard receives a reference to the parsed type
pub fn is_not_empty(text: &String) -> bool {
    !text.is_empty()
}
