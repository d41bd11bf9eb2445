//! Settings of a relay from flags, environment variables and the file that the platform renders.

use std::{ffi::OsString, fs, io, net::SocketAddr};

use bpaf::{Parser, construct, long};
use log::LevelFilter;
use yuccatrail_core::{retry_share::RetryLimit, rollout::ExposureLimit};
use yuccatrail_runtime::settings;

use crate::settings::{self as entry_settings, MachineLimits};

/// Subcommand whose settings the platform renders.
const COMMAND: &str = "relay";
/// Requests beyond the share that a new version may receive unless the settings state another number;
/// the platform's bound.
const DEFAULT_EXPOSURE_SLACK: f64 = 50.0;
/// Time within which a bad version has to be out of use unless the settings state another one, in
/// milliseconds; the platform's bound.
const DEFAULT_ROLLBACK_MS: f64 = 5_000.0;

/// Settings of one relay process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RelaySettings {
    /// Name of the instance.
    pub(crate) name: String,
    /// Data centre that the instance runs in.
    pub(crate) data_centre: String,
    /// Address to listen on for callers.
    pub(crate) listen: SocketAddr,
    /// Address to listen on for the platform's readiness checks.
    pub(crate) ready_listen: SocketAddr,
    /// Address to listen on for other entries.
    pub(crate) peer_listen: SocketAddr,
    /// Address at which other entries reach this one, if it is not the one that it listens on.
    pub(crate) peer_address: Option<SocketAddr>,
    /// Address to serve metrics on; none disables them.
    pub(crate) metrics_listen: Option<SocketAddr>,
    /// Address of the platform's object store.
    pub(crate) platform: SocketAddr,
    /// CPU share that the process may use, in cores.
    pub(crate) cpu_share: f64,
    /// What the process may use of its machine.
    pub(crate) machine: MachineLimits,
    /// Whether the tokens that requests hold at a model upstream are limited to its memory.
    pub(crate) limits_upstream_memory: bool,
    /// Whether the whole installation starts for the first time, so that no earlier run of this entry has
    /// used a part of what all entries share.
    pub(crate) is_first_start: bool,
    /// Limits that operators set.
    pub(crate) bounds: Bounds,
    /// Least severe level to log.
    pub(crate) log_level: LevelFilter,
}

/// Limits that operators set for all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// Time from the signal of a graceful shutdown to the kill, in milliseconds.
    pub(crate) grace_period_ms: u64,
    /// Limit on retries over all entries.
    pub(crate) retries: RetryLimit,
    /// Limit on what a new software version receives before its verdict; roll-outs are disabled
    /// without one.
    pub(crate) exposure: Option<ExposureLimit>,
}

/// Limits of roll-outs as given, with defaults for all but the share.
#[derive(Clone, Copy, Debug)]
struct ExposureParts {
    share: Option<f64>,
    slack: f64,
    rollback_ms: u64,
}

impl RelaySettings {
    /// Returns the address at which other entries reach this one.
    pub(crate) fn reachable_peer_address(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.peer_listen)
    }
}

/// Returns the parser of flags and environment variables.
pub(crate) fn options() -> impl Parser<RelaySettings> {
    let name = settings::name();
    let data_centre = settings::data_centre();
    let listen = entry_settings::listen();
    let ready_listen = settings::address(
        "ready-listen",
        "YUCCATRAIL_READY_LISTEN",
        "Address on which the platform asks whether the entry takes callers",
    );
    let peer_listen = entry_settings::peer_listen();
    let peer_address = settings::address(
        "peer-address",
        "YUCCATRAIL_PEER_ADDRESS",
        "Address that other entries are told, if it is not the one of --peer-listen",
    )
    .optional();
    let metrics_listen =
        settings::address("metrics-listen", "YUCCATRAIL_METRICS_LISTEN", "Address of the metrics")
            .optional();
    let platform = entry_settings::platform();
    let cpu_share = long("cpu-share")
        .env("YUCCATRAIL_CPU_SHARE")
        .help("Part of a core that the process may use")
        .argument("PART")
        .guard(|it| *it > 0.0, "cpu-share must be above 0")
        .fallback(1.0);
    let machine = entry_settings::machine();
    let limits_upstream_memory = repeatable_flag(
        "upstream-memory-limit",
        "Limit the tokens that requests hold at a model upstream to its memory",
    );
    let is_first_start =
        repeatable_flag("first-start", "The whole installation starts for the first time");
    let bounds = bounds();
    let log_level = settings::log_level();
    construct!(RelaySettings {
        name,
        data_centre,
        listen,
        ready_listen,
        peer_listen,
        peer_address,
        metrics_listen,
        platform,
        cpu_share,
        machine,
        limits_upstream_memory,
        is_first_start,
        bounds,
        log_level,
    })
}

fn bounds() -> impl Parser<Bounds> {
    let grace_period_ms = long("grace-period-s")
        .env("YUCCATRAIL_GRACE_PERIOD_S")
        .help("Time from the signal of a planned stop to the kill, in seconds")
        .argument("S")
        .guard(is_non_negative, "grace-period-s must not be negative")
        .fallback(8.0)
        .map(|it: f64| (it * 1_000.0) as u64);
    let retries = retries();
    let exposure = exposure();
    construct!(Bounds { grace_period_ms, retries, exposure })
}

/// Returns the parser of the limits of roll-outs; none unless a share is given.
fn exposure() -> impl Parser<Option<ExposureLimit>> {
    let share = long("exposure-share")
        .env("YUCCATRAIL_EXPOSURE_SHARE")
        .help("Part of a service's requests that a new version receives before its verdict; roll-outs are disabled without it")
        .argument("PART")
        .guard(|it| *it > 0.0 && *it <= 1.0, "exposure-share must be above 0 and at most 1")
        .optional();
    let slack = long("exposure-slack")
        .env("YUCCATRAIL_EXPOSURE_SLACK")
        .help("Requests that a new version receives beyond that part, over all entries")
        .argument("NUMBER")
        .guard(is_non_negative, "exposure-slack must not be negative")
        .fallback(DEFAULT_EXPOSURE_SLACK);
    let rollback_ms = long("rollback-ms")
        .env("YUCCATRAIL_ROLLBACK_MS")
        .help("Time after its 50th bad answer from which a bad version receives nothing, in milliseconds")
        .argument("MS")
        .guard(|it: &f64| it.is_finite() && *it >= 1.0, "rollback-ms must be at least 1")
        .fallback(DEFAULT_ROLLBACK_MS)
        .map(|it: f64| it as u64);
    let limit = construct!(ExposureParts { share, slack, rollback_ms });
    limit.map(|it| {
        let ExposureParts { share, slack, rollback_ms } = it;
        share.map(|share| ExposureLimit { share, slack, rollback_ms })
    })
}

/// Returns the parser of a flag that the platform may render although the command line has it too.
fn repeatable_flag(name: &'static str, help: &'static str) -> impl Parser<bool> {
    long(name).help(help).req_flag(()).many().map(|it| !it.is_empty())
}

fn retries() -> impl Parser<RetryLimit> {
    let ratio = long("retry-ratio")
        .env("YUCCATRAIL_RETRY_RATIO")
        .help("Retries for each request of the window, over all entries")
        .argument("RATIO")
        .guard(is_non_negative, "retry-ratio must not be negative")
        .fallback(0.1);
    let slack = long("retry-slack")
        .env("YUCCATRAIL_RETRY_SLACK")
        .help("Retries beyond the ratio in each window, over all entries")
        .argument("NUMBER")
        .guard(is_non_negative, "retry-slack must not be negative")
        .fallback(10.0);
    let window_ms = long("retry-window-s")
        .env("YUCCATRAIL_RETRY_WINDOW_S")
        .help("Window in which retries are counted, in seconds")
        .argument("S")
        .guard(|it| *it > 0.0, "retry-window-s must be above 0")
        .fallback(10.0)
        .map(|it: f64| (it * 1_000.0) as u64);
    construct!(RetryLimit { ratio, slack, window_ms })
}

/// Appends the flags that the platform has rendered for this process, one per line.
///
/// # Errors
///
/// Returns an error when the rendered file can't be read.
pub(crate) fn with_rendered_settings(mut words: Vec<OsString>) -> io::Result<Vec<OsString>> {
    if words.first().is_none_or(|it| it != COMMAND) {
        return Ok(words);
    }
    let Some(path) = yuccatrail_adapter::settings::path() else { return Ok(words) };
    let text = fs::read_to_string(path)?;
    let lines = text.lines().map(str::trim).filter(|it| !it.is_empty() && !it.starts_with('#'));
    words.extend(lines.flat_map(yuccatrail_adapter::settings::flags_of));
    Ok(words)
}

/// Reads the settings again in the same way as at process start.
///
/// # Errors
///
/// Returns what is invalid about the settings; the current ones stay in effect.
pub(crate) fn reread() -> Result<RelaySettings, String> {
    let words = std::env::args_os().skip(1).collect();
    let words = with_rendered_settings(words).map_err(|it| it.to_string())?;
    let options = options().to_options();
    let flags = words.get(1..).unwrap_or_default();
    options.run_inner(flags).map_err(|it| it.unwrap_stderr())
}

fn is_non_negative(value: &f64) -> bool {
    value.is_finite() && *value >= 0.0
}
