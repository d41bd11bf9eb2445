//! What the stand-ins have seen: the record of a run, and the faults that it shows.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

/// Record of a run; shared by all stand-ins.
#[derive(Debug)]
pub struct World {
    started: Instant,
    record: Mutex<File>,
    next: AtomicU64,
    broken: Mutex<Vec<String>>,
    counts: Mutex<std::collections::BTreeMap<String, u64>>,
}

impl World {
    pub fn new(record: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            record: Mutex::new(File::create(record)?),
            next: AtomicU64::new(1),
            broken: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line into the record.
    pub fn note(&self, text: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }

    /// Writes a line into the record and counts the rule as broken.
    pub fn break_rule(&self, text: &str) {
        self.note(&format!("BROKEN {text}"));
        self.broken.lock().unwrap().push(text.to_owned());
    }

    pub fn broken(&self) -> usize {
        self.broken.lock().unwrap().len()
    }

    pub fn count(&self, what: &str) {
        *self.counts.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }

    pub fn counted(&self, what: &str) -> u64 {
        self.counts.lock().unwrap().get(what).copied().unwrap_or(0)
    }

    pub fn counts(&self) -> String {
        let counts = self.counts.lock().unwrap();
        let counts: Vec<String> = counts.iter().map(|(it, n)| format!("{it}: {n}")).collect();
        counts.join(", ")
    }

    /// Returns a new identifier of 16 hexadecimal digits.
    pub fn new_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}
