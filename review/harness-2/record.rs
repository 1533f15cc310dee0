//! The file with what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), started_at: Instant::now() })
    }

    /// Writes a line with the time since the start of the case, in ms.
    pub fn write(&self, text: &str) {
        let at_ms = self.started_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at_ms:>7} {text}");
    }
}
