//! Logger that writes JSON lines to standard output.
//!
//! Logging never blocks on the output: lines are appended to a bounded buffer, which a separate
//! thread writes out. Lines that exceed the rate limit or the buffer are dropped and counted.

use std::{
    io::{self, Write},
    panic::{self, PanicHookInfo},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};
use log::{
    Level, LevelFilter, Log, Metadata, Record, error,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json, json};
use simplelog::{CombinedLogger, Config, SharedLogger};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Interval at which the buffer is written out; a shorter one costs more wake-ups, which matter on
/// a small instance.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Rate limit for lines less severe than warnings, in lines per second; twice the request rate that
/// one entry has today.
const INFO_LINES_PER_S: u32 = 200;
/// Rate limit for lines of all levels together, in lines per second.
const LINES_PER_S: u32 = 400;
/// Maximum size of the buffer, in bytes; enough for the lines of several seconds.
const MAX_BUFFER_BYTES: usize = 512 * 1024;

/// Libraries that log each call at info level; only their warnings and errors are logged.
const VERBOSE_LIBRARIES: [&str; 1] = ["tarpc"];

/// Error when a logger is already installed in this process.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the logger is already installed")]
pub struct AlreadyInstalled;

/// Installs the JSON logger for the whole process.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn install(level: LevelFilter) -> Result<(), AlreadyInstalled> {
    let lines = Arc::new(Mutex::new(LineBuffer::new(Instant::now())));
    let logger = Box::new(JsonLogger { level, lines: lines.clone() });
    CombinedLogger::init(vec![logger]).map_err(|_| AlreadyInstalled)?;
    let writer = thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            write_buffer(&lines);
        }
    });
    if let Err(error) = spawned {
        eprintln!("cannot start the log writer thread: {error}");
    }
    panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs a panic, which would otherwise be written as plain text.
fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    error!(place = place, detail = info.payload_as_str().unwrap_or(""); "panicked");
}

/// Lines that are not written yet, and the numbers of lines in the current second.
#[derive(Debug)]
struct LineBuffer {
    buffer: Vec<u8>,
    second_start: Instant,
    info_lines: u32,
    lines: u32,
    dropped: u64,
}

impl LineBuffer {
    fn new(now: Instant) -> Self {
        Self { buffer: Vec::new(), second_start: now, info_lines: 0, lines: 0, dropped: 0 }
    }

    /// Appends a line unless a rate limit is reached or the buffer is full.
    fn push(&mut self, level: Level, line: impl FnOnce() -> Vec<u8>, now: Instant) {
        if now.duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.info_lines = 0;
            self.lines = 0;
            self.report_dropped();
        }
        let is_info = level > Level::Warn;
        if self.lines >= LINES_PER_S
            || (is_info && self.info_lines >= INFO_LINES_PER_S)
            || self.buffer.len() >= MAX_BUFFER_BYTES
        {
            self.dropped += 1;
            return;
        }
        self.lines += 1;
        self.info_lines += u32::from(is_info);
        self.buffer.extend(line());
        self.buffer.push(b'\n');
    }

    fn report_dropped(&mut self) {
        if self.dropped == 0 || self.buffer.len() >= MAX_BUFFER_BYTES {
            return;
        }
        let line = json!({
            "time": timestamp(),
            "level": "warn",
            "message": "log lines dropped",
            "lines": self.dropped,
        });
        self.dropped = 0;
        self.buffer.extend(line.to_string().into_bytes());
        self.buffer.push(b'\n');
    }
}

fn lock(lines: &Mutex<LineBuffer>) -> MutexGuard<'_, LineBuffer> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_buffer(lines: &Mutex<LineBuffer>) {
    let buffer = std::mem::take(&mut lock(lines).buffer);
    if buffer.is_empty() {
        return;
    }
    let mut output = io::stdout().lock();
    // A failure to write the log cannot be logged either.
    let _ = output.write_all(&buffer);
    let _ = output.flush();
}

/// Logger that formats each record as a JSON object on one line.
struct JsonLogger {
    level: LevelFilter,
    lines: Arc<Mutex<LineBuffer>>,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_verbose = VERBOSE_LIBRARIES.iter().any(|it| metadata.target().starts_with(it));
        metadata.level() <= if is_verbose { self.level.min(LevelFilter::Warn) } else { self.level }
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = || to_json(record).to_string().into_bytes();
        lock(&self.lines).push(record.level(), line, Instant::now());
    }

    fn flush(&self) {
        lock(&self.lines).report_dropped();
        write_buffer(&self.lines);
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
    // The visitor never returns an error.
    let _ = record.key_values().visit(&mut visitor);
    Json::Object(visitor.fields)
}

/// Collects the key-value pairs of a record as JSON members.
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
