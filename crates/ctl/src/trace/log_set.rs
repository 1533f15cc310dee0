use {
    super::log_line::LogLine,
    crate::failure::Failure,
    std::{
        collections::BTreeMap,
        fs::File,
        io::{BufRead, BufReader},
        path::PathBuf,
    },
};

/// Log lines of any number of processes, sorted by time stamp.
pub(super) struct LogSet {
    pub(super) lines: Vec<LogLine>,
    /// Time stamps of the first and the last line of each host, in ms.
    pub(super) spans: BTreeMap<String, (u64, u64)>,
    /// Number of dropped lines that each host reported in its log.
    pub(super) dropped: BTreeMap<String, u64>,
}

impl LogSet {
    /// Reads log files. The file name without its extension is the host of lines that
    /// have no prefix of a log collector.
    pub(super) fn read(files: &[PathBuf]) -> Result<LogSet, Failure> {
        let mut set =
            LogSet { lines: Vec::new(), spans: BTreeMap::new(), dropped: BTreeMap::new() };
        for path in files {
            let read_failure =
                |e| Failure::Usage(format!("cannot read log file {}: {e}", path.display()));
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let mut reader = BufReader::new(File::open(path).map_err(read_failure)?);
            let mut bytes = Vec::new();
            while reader.read_until(b'\n', &mut bytes).map_err(read_failure)? > 0 {
                set.add(&String::from_utf8_lossy(&bytes), &name);
                bytes.clear();
            }
        }
        set.lines.sort_by_key(|line| line.ts_ms);
        Ok(set)
    }

    fn add(&mut self, text: &str, file_name: &str) {
        if let Some((_, count)) = text.split_once("event=log_lines_dropped count=") {
            let prefix = text.split("level=").next().unwrap_or_default();
            let host = prefix.split_whitespace().next_back().unwrap_or(file_name);
            let count: u64 = count.trim().parse().unwrap_or(0);
            *self.dropped.entry(host.to_owned()).or_default() += count;
            return;
        }
        let Some(line) = LogLine::parse(text, file_name) else { return };
        let span = self.spans.entry(line.host.clone()).or_insert((line.ts_ms, line.ts_ms));
        span.0 = span.0.min(line.ts_ms);
        span.1 = span.1.max(line.ts_ms);
        self.lines.push(line);
    }
}
