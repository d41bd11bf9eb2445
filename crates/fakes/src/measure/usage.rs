//! Processor time and memory of a process, read from `/proc`.

use std::{fs, io};

use serde::{Deserialize, Serialize};

/// Clock ticks a second in `/proc/PID/stat`, which Linux fixes for user space.
const TICKS_PER_SECOND: u64 = 100;
/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;
/// Position of the user time in `/proc/PID/stat`, counted after the name.
const USER_FIELD: usize = 11;
/// Position of the system time in `/proc/PID/stat`, counted after the name.
const SYSTEM_FIELD: usize = 12;
/// Line of `/proc/PID/status` that gives the resident memory.
const RESIDENT_LINE: &str = "VmRSS:";
/// Bytes in a kibibyte.
const KIB_BYTES: u64 = 1024;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of all threads that still run, in microseconds.
    pub cpu_us: u64,
    /// User time of the whole process, in microseconds, in steps of a clock tick.
    pub user_us: u64,
    /// System time of the whole process, in microseconds, in steps of a clock tick.
    pub system_us: u64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of the process `id`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended or `/proc` cannot be read.
    pub fn read(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The name may hold spaces and ends with the last parenthesis.
        let after_name = stat.rsplit_once(')').map_or("", |it| it.1);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks_us = |field: usize| {
            let ticks: u64 = fields.get(field).and_then(|it| it.parse().ok()).unwrap_or(0);
            ticks * US_PER_SECOND / TICKS_PER_SECOND
        };
        let (user_us, system_us) = (ticks_us(USER_FIELD), ticks_us(SYSTEM_FIELD));
        let cpu_us = threads_cpu_us(id).unwrap_or(user_us + system_us);
        Ok(Self { cpu_us, user_us, system_us, resident_bytes: resident_bytes(id)? })
    }

    /// Returns the usage since `earlier`; the memory is that of `self`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            user_us: self.user_us.saturating_sub(earlier.user_us),
            system_us: self.system_us.saturating_sub(earlier.system_us),
            resident_bytes: self.resident_bytes,
        }
    }

    /// Adds the usage of another process.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_us: self.cpu_us + other.cpu_us,
            user_us: self.user_us + other.user_us,
            system_us: self.system_us + other.system_us,
            resident_bytes: self.resident_bytes + other.resident_bytes,
        }
    }
}

/// Sums the time that each thread spent on a processor, which is finer than clock ticks.
fn threads_cpu_us(id: u32) -> io::Result<u64> {
    let mut total_ns = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else { continue };
        let on_cpu_ns: u64 =
            text.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0);
        total_ns += on_cpu_ns;
    }
    if total_ns == 0 {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(total_ns / 1000)
}

fn resident_bytes(id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    for line in status.lines() {
        let Some(rest) = line.strip_prefix(RESIDENT_LINE) else { continue };
        let kib = rest.split_whitespace().next().and_then(|it| it.parse::<u64>().ok());
        return Ok(kib.unwrap_or(0) * KIB_BYTES);
    }
    Ok(0)
}
