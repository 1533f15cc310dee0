/// One line of a router's log: `ts_ms=... level=... event=... key=value ...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    pub(super) host: String,
    pub(super) ts_ms: u64,
    /// Name of the event, followed by its `key=value` pairs.
    pub(super) event: String,
}

impl LogLine {
    /// Parses a line; `None` if it is not a log line of a router. The text before
    /// `ts_ms=` is the prefix of a log collector, whose last word is the host. Without
    /// a prefix, the host is `file_name`.
    pub(super) fn parse(text: &str, file_name: &str) -> Option<LogLine> {
        let (prefix, rest) = text.split_once("ts_ms=")?;
        let (ts_ms, rest) = rest.split_once(' ')?;
        let (_, event) = rest.split_once(" event=")?;
        let host = prefix.split_whitespace().next_back().unwrap_or(file_name);
        Some(LogLine {
            host: host.to_owned(),
            ts_ms: ts_ms.parse().ok()?,
            event: event.trim_end().to_owned(),
        })
    }

    pub(super) fn event_name(&self) -> &str {
        self.event.split(' ').next().unwrap_or_default()
    }

    /// Value of a key, up to the next space.
    pub(super) fn value(&self, key: &str) -> Option<&str> {
        self.event.split(' ').find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}
