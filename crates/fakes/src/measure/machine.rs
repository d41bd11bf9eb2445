//! Description of the machine and the build that a measurement runs on.

use std::{fs, process::Command};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Machine, build and start time of a measurement.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display(
    "{date}, commit {commit}, {build} build, {processor}, {cores} cores, {memory_mib} MiB, \
     Linux {kernel}, load {load_before}"
)]
pub struct Machine {
    /// Start time of the measurement (RFC 3339, UTC).
    pub date: String,
    /// Abbreviated hash of the checked-out Git commit, or `unknown`.
    pub commit: String,
    /// Version of the `yuccatrail-fakes` package.
    pub version: String,
    /// Build profile: `release` or `debug`.
    pub build: String,
    /// Model name of the processor.
    pub processor: String,
    /// Number of logical processors that the process may use.
    pub cores: usize,
    /// Total memory in mebibytes.
    pub memory_mib: u64,
    /// Release of the Linux kernel.
    pub kernel: String,
    /// One-minute load average at the start of the measurement.
    pub load_before: String,
}

impl Machine {
    /// Describes the current machine and build; unreadable values get a default.
    pub fn describe() -> Self {
        let build = if cfg!(debug_assertions) { "debug" } else { "release" };
        Self {
            date: OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default(),
            commit: git_commit().unwrap_or_else(|| "unknown".to_owned()),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            build: build.to_owned(),
            processor: field_value("/proc/cpuinfo", "model name").unwrap_or_default(),
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mib: memory_mib(),
            kernel: first_word("/proc/sys/kernel/osrelease"),
            load_before: first_word("/proc/loadavg"),
        }
    }
}

fn git_commit() -> Option<String> {
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let commit = text.trim();
    (!commit.is_empty()).then(|| commit.to_owned())
}

fn memory_mib() -> u64 {
    let text = field_value("/proc/meminfo", "MemTotal").unwrap_or_default();
    let kib: u64 = text.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0);
    kib / 1024
}

/// Returns the value of the first `name: value` line in a file.
fn field_value(path: &str, name: &str) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find(|it| it.starts_with(name))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

fn first_word(path: &str) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().next().unwrap_or_default().to_owned()
}
