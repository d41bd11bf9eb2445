//! Logs as JSON lines on standard output.
//!
//! A caller never waits for the output: lines go into a bounded buffer that a thread of its own
//! empties. Under load, lines beyond the budget of a second are left out and counted.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};
use log::{
    Level, LevelFilter, Log, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json, json};
use simplelog::{CombinedLogger, Config, SharedLogger};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Time between two writes of the buffer; a shorter one costs a small instance wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Lines a second below the level of warnings; twice the requests a second of one entry today.
const INFO_LINES_PER_S: u32 = 200;
/// Lines a second in all.
const LINES_PER_S: u32 = 400;
/// Largest size of the buffer, in bytes; holds the lines of some seconds.
const MAX_BUFFER_BYTES: usize = 512 * 1024;

/// Libraries that log each of their calls at the level of decisions.
const LIBRARIES: [&str; 1] = ["tarpc"];

/// Logging was set up before in this process.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the logger is already installed")]
pub struct AlreadyInstalled;

/// Installs the JSON logger for the whole process.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn install(level: LevelFilter) -> Result<(), AlreadyInstalled> {
    let lines = Arc::new(Mutex::new(Lines::new(Instant::now())));
    let logger = Box::new(JsonLogger { level, lines: lines.clone() });
    CombinedLogger::init(vec![logger]).map_err(|_| AlreadyInstalled)?;
    let writer = thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            write_out(&lines);
        }
    });
    if let Err(error) = spawned {
        eprintln!("cannot start the thread that writes logs: {error}");
    }
    Ok(())
}

/// Lines that wait for the output, and the budget of the current second.
#[derive(Debug)]
struct Lines {
    buffer: Vec<u8>,
    second: Instant,
    info_lines: u32,
    lines: u32,
    left_out: u64,
}

impl Lines {
    fn new(now: Instant) -> Self {
        Self { buffer: Vec::new(), second: now, info_lines: 0, lines: 0, left_out: 0 }
    }

    /// Takes in a line if the budget and the buffer have room.
    fn push(&mut self, level: Level, line: impl FnOnce() -> Vec<u8>, now: Instant) {
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.info_lines = 0;
            self.lines = 0;
            self.report_left_out();
        }
        let is_info = level > Level::Warn;
        if self.lines >= LINES_PER_S
            || (is_info && self.info_lines >= INFO_LINES_PER_S)
            || self.buffer.len() >= MAX_BUFFER_BYTES
        {
            self.left_out += 1;
            return;
        }
        self.lines += 1;
        self.info_lines += u32::from(is_info);
        self.buffer.extend(line());
        self.buffer.push(b'\n');
    }

    fn report_left_out(&mut self) {
        if self.left_out == 0 || self.buffer.len() >= MAX_BUFFER_BYTES {
            return;
        }
        let line = json!({
            "time": timestamp(),
            "level": "warn",
            "message": "log lines left out",
            "lines": self.left_out,
        });
        self.left_out = 0;
        self.buffer.extend(line.to_string().into_bytes());
        self.buffer.push(b'\n');
    }
}

fn lock(lines: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_out(lines: &Mutex<Lines>) {
    let buffer = std::mem::take(&mut lock(lines).buffer);
    if buffer.is_empty() {
        return;
    }
    let mut output = io::stdout().lock();
    // A log line that cannot be written has nowhere else to go.
    let _ = output.write_all(&buffer);
    let _ = output.flush();
}

/// Writes each record as one JSON object per line.
struct JsonLogger {
    level: LevelFilter,
    lines: Arc<Mutex<Lines>>,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_library = LIBRARIES.iter().any(|it| metadata.target().starts_with(it));
        metadata.level() <= if is_library { self.level.min(LevelFilter::Warn) } else { self.level }
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = || to_json(record).to_string().into_bytes();
        lock(&self.lines).push(record.level(), line, Instant::now());
    }

    fn flush(&self) {
        lock(&self.lines).report_left_out();
        write_out(&self.lines);
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

fn timestamp() -> String {
    OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default()
}

fn to_json(record: &Record<'_>) -> Json {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), timestamp().into());
    fields.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    fields.insert("target".to_owned(), record.target().into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    let mut visitor = FieldVisitor { fields };
    // The visitor itself never fails.
    let _ = record.key_values().visit(&mut visitor);
    Json::Object(visitor.fields)
}

/// Collects the key-value pairs of a record.
struct FieldVisitor {
    fields: Map<String, Json>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.fields.insert(key.to_string(), value_to_json(&value));
        Ok(())
    }
}

fn value_to_json(value: &Value<'_>) -> Json {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    value.to_string().into()
}

#[cfg(test)]
mod tests;
