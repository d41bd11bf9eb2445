//! Processor time and resident memory of a process, read from `/proc`.

use std::{fs, io};

use serde::{Deserialize, Serialize};

/// Clock ticks per second in `/proc/PID/stat`; fixed by Linux for user space (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;
/// Index of `utime` in `/proc/PID/stat`, counted from the field after the process name.
const UTIME_FIELD: usize = 11;
/// Index of `stime` in `/proc/PID/stat`, counted from the field after the process name.
const STIME_FIELD: usize = 12;
/// Prefix of the line in `/proc/PID/status` with the resident memory in kibibytes.
const RESIDENT_PREFIX: &str = "VmRSS:";
/// Bytes in a kibibyte.
const BYTES_PER_KIB: u64 = 1024;

/// Processor time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of all threads that still run, in microseconds; without scheduler statistics,
    /// the sum of `user_us` and `system_us`.
    pub cpu_us: u64,
    /// User time of the process in microseconds, with the resolution of a clock tick (10 ms).
    pub user_us: u64,
    /// System time of the process in microseconds, with the resolution of a clock tick (10 ms).
    pub system_us: u64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of the process with the given id.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or `/proc` cannot be read.
    pub fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The process name may contain spaces and parentheses; it ends at the last parenthesis.
        let after_name = stat.rsplit_once(')').map_or("", |it| it.1);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks_us = |field: usize| {
            let ticks: u64 = fields.get(field).and_then(|it| it.parse().ok()).unwrap_or(0);
            ticks * US_PER_SECOND / TICKS_PER_SECOND
        };
        let (user_us, system_us) = (ticks_us(UTIME_FIELD), ticks_us(STIME_FIELD));
        let cpu_us = threads_cpu_us(id).unwrap_or(user_us + system_us);
        Ok(Self { cpu_us, user_us, system_us, resident_bytes: resident_bytes(id)? })
    }

    /// Returns the processor time since `earlier`, with the resident memory of `self`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            user_us: self.user_us.saturating_sub(earlier.user_us),
            system_us: self.system_us.saturating_sub(earlier.system_us),
            resident_bytes: self.resident_bytes,
        }
    }

    /// Returns the sum with the usage of another process.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_us: self.cpu_us + other.cpu_us,
            user_us: self.user_us + other.user_us,
            system_us: self.system_us + other.system_us,
            resident_bytes: self.resident_bytes + other.resident_bytes,
        }
    }
}

/// Sums the processor time of all threads from `schedstat`, which is finer than clock ticks.
///
/// Fails when the kernel keeps no scheduler statistics.
fn threads_cpu_us(id: u32) -> io::Result<u64> {
    let mut total_ns = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else { continue };
        let thread_ns: u64 =
            text.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0);
        total_ns += thread_ns;
    }
    if total_ns == 0 {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(total_ns / 1000)
}

fn resident_bytes(id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    for line in status.lines() {
        let Some(rest) = line.strip_prefix(RESIDENT_PREFIX) else { continue };
        let kib = rest.split_whitespace().next().and_then(|it| it.parse::<u64>().ok());
        return Ok(kib.unwrap_or(0) * BYTES_PER_KIB);
    }
    Ok(0)
}
