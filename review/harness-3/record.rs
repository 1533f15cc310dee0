//! What was sent, answered and run, in the order of time, for `record.txt`.

use std::{
    fmt::Write,
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start of the script.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: String) {
        self.add_at(self.now_ms(), line);
    }

    pub fn add_at(&self, at_ms: u64, line: String) {
        self.lines.lock().unwrap().push((at_ms, line));
    }

    /// Adds a line and shows it.
    pub fn note(&self, line: &str) {
        println!("{:>6} ms  {line}", self.now_ms());
        self.add(line.to_owned());
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:>6} ms  {line}");
        }
        fs::write(path, text)
    }
}
