use {
    super::{log_line::LogLine, log_set::LogSet},
    crate::failure::Failure,
    std::{collections::BTreeSet, fmt::Write, path::PathBuf},
};

/// Time before the first line of a request from which context lines are shown, in ms.
const CONTEXT_MS: u64 = 6_000;

/// Events that change the state of a whole host and carry no request id.
const CONTEXT_EVENTS: [&str; 15] = [
    "started",
    "stop_started",
    "stopped",
    "settings_reloaded",
    "settings_rejected",
    "store_lost",
    "store_regained",
    "relay_chosen",
    "relay_changed",
    "relay_failed",
    "records_relayed",
    "source_changed",
    "config_applied",
    "log_expired",
    "log_rewound",
];

/// Selects the log lines to show. A filter that is `None` matches every line.
#[derive(Clone, Debug, Default)]
pub(crate) struct TraceQuery {
    pub(crate) request: Option<String>,
    pub(crate) endpoint: Option<String>,
    pub(crate) from_ms: Option<u64>,
    pub(crate) to_ms: Option<u64>,
}

/// Formats the log lines that match `query`, sorted by time stamp. The lines of a
/// request are shown with the context lines of its hosts.
pub(crate) fn trace(files: &[PathBuf], query: &TraceQuery) -> Result<String, Failure> {
    let set = LogSet::read(files)?;
    let from_ms = query.from_ms.unwrap_or(0);
    let to_ms = query.to_ms.unwrap_or(u64::MAX);
    let matching: Vec<&LogLine> = set
        .lines
        .iter()
        .filter(|line| line.ts_ms >= from_ms && line.ts_ms <= to_ms)
        .filter(|line| query.request.as_deref().is_none_or(|id| line.value("id") == Some(id)))
        .filter(|line| {
            query.endpoint.as_deref().is_none_or(|id| line.value("endpoint") == Some(id))
        })
        .collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        return Err(Failure::Refused("no line matches".to_owned()));
    };
    let span = (first.ts_ms, last.ts_ms);
    let mut lines = matching.clone();
    if query.request.is_some() {
        lines.extend(context_lines(&set, &matching, span));
        lines.sort_by_key(|line| line.ts_ms);
    }
    let mut text = String::new();
    for line in &lines {
        let offset_ms = line.ts_ms as i64 - span.0 as i64;
        // writing to a string cannot fail
        let _ = writeln!(text, "{offset_ms:+7} ms  {}  {}", line.host, line.event);
    }
    text.push_str(&coverage_gaps(&set, span));
    Ok(text)
}

/// Lines without a request id that the hosts of a request wrote shortly before or
/// during it, about the host's own state or the endpoints of the request.
fn context_lines<'a>(set: &'a LogSet, matching: &[&LogLine], span: (u64, u64)) -> Vec<&'a LogLine> {
    let hosts: BTreeSet<&str> = matching.iter().map(|line| line.host.as_str()).collect();
    let endpoints: BTreeSet<&str> =
        matching.iter().filter_map(|line| line.value("endpoint")).collect();
    let is_in_context_window =
        |line: &LogLine| line.ts_ms + CONTEXT_MS >= span.0 && line.ts_ms <= span.1;
    set.lines
        .iter()
        .filter(|line| is_in_context_window(line) && hosts.contains(line.host.as_str()))
        .filter(|line| line.value("id").is_none())
        .filter(|line| {
            CONTEXT_EVENTS.contains(&line.event_name())
                || line.value("endpoint").is_some_and(|id| endpoints.contains(id))
        })
        .collect()
}

/// Lists hosts whose lines do not cover the whole span, and numbers of dropped lines.
fn coverage_gaps(set: &LogSet, span: (u64, u64)) -> String {
    let mut text = String::new();
    for (host, (first_ms, last_ms)) in &set.spans {
        if *first_ms > span.0 || *last_ms < span.1 {
            let _ = writeln!(text, "missing: {host} has lines from {first_ms} to {last_ms} only");
        }
    }
    for (host, count) in &set.dropped {
        let _ = writeln!(text, "missing: {host} dropped {count} lines");
    }
    text
}
