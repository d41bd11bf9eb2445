//! Logs as JSON lines on standard error.

use std::{
    io::{self, Write},
    sync::Mutex,
};

use derive_more::{Display, Error};
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};
use simplelog::{CombinedLogger, Config, SharedLogger};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

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
    CombinedLogger::init(vec![JsonLogger::new(level)]).map_err(|_| AlreadyInstalled)
}

/// Writes each record as one JSON object per line.
struct JsonLogger {
    level: LevelFilter,
    output: Mutex<io::LineWriter<io::Stderr>>,
}

impl JsonLogger {
    fn new(level: LevelFilter) -> Box<Self> {
        Box::new(Self { level, output: Mutex::new(io::LineWriter::new(io::stderr())) })
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut line) = serde_json::to_vec(&to_json(record)) else { return };
        line.push(b'\n');
        let Ok(mut output) = self.output.lock() else { return };
        // A log line that cannot be written has nowhere else to go.
        let _ = output.write_all(&line);
    }

    fn flush(&self) {
        let Ok(mut output) = self.output.lock() else { return };
        let _ = output.flush();
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

fn to_json(record: &Record<'_>) -> Json {
    let mut fields = Map::new();
    let now = OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default();
    fields.insert("time".to_owned(), now.into());
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
