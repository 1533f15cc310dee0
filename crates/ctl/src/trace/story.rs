use {
    super::{log_line::LogLine, log_set::LogSet},
    crate::failure::Failure,
    std::{collections::BTreeSet, fmt::Write, path::PathBuf},
};

/// Changes of a host's knowledge so long before a request belong to its story, in ms.
const CONTEXT_MS: u64 = 6_000;

/// Events that change what a host knows, without the id of a request.
const CONTEXT_EVENTS: [&str; 14] = [
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
    "source_changed",
    "config_applied",
    "log_expired",
    "log_rewound",
];

/// What to show.
#[derive(Clone, Debug, Default)]
pub(crate) struct TraceQuery {
    pub(crate) request: Option<String>,
    pub(crate) endpoint: Option<String>,
    pub(crate) from_ms: Option<u64>,
    pub(crate) to_ms: Option<u64>,
}

/// Tells a request's or an endpoint's story from log files, in the order of time.
pub(crate) fn trace(files: &[PathBuf], query: &TraceQuery) -> Result<String, Failure> {
    let set = LogSet::read(files)?;
    let from_ms = query.from_ms.unwrap_or(0);
    let to_ms = query.to_ms.unwrap_or(u64::MAX);
    let own: Vec<&LogLine> = set
        .lines
        .iter()
        .filter(|line| line.ts_ms >= from_ms && line.ts_ms <= to_ms)
        .filter(|line| query.request.as_deref().is_none_or(|id| line.value("id") == Some(id)))
        .filter(|line| {
            query.endpoint.as_deref().is_none_or(|id| line.value("endpoint") == Some(id))
        })
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Failure::Refused("no line matches".to_owned()));
    };
    let span = (first.ts_ms, last.ts_ms);
    let mut lines = own.clone();
    if query.request.is_some() {
        lines.extend(context(&set, &own, span));
        lines.sort_by_key(|line| line.ts_ms);
    }
    let mut text = String::new();
    for line in &lines {
        let offset_ms = line.ts_ms as i64 - span.0 as i64;
        // writing to a string cannot fail
        let _ = writeln!(text, "{offset_ms:+7} ms  {}  {}", line.host, line.event);
    }
    text.push_str(&gaps(&set, span));
    Ok(text)
}

/// Changes of what the hosts of a request knew of the store and of its endpoints.
fn context<'a>(set: &'a LogSet, own: &[&LogLine], span: (u64, u64)) -> Vec<&'a LogLine> {
    let hosts: BTreeSet<&str> = own.iter().map(|line| line.host.as_str()).collect();
    let endpoints: BTreeSet<&str> = own.iter().filter_map(|line| line.value("endpoint")).collect();
    let is_near = |line: &LogLine| line.ts_ms + CONTEXT_MS >= span.0 && line.ts_ms <= span.1;
    set.lines
        .iter()
        .filter(|line| is_near(line) && hosts.contains(line.host.as_str()))
        .filter(|line| line.value("id").is_none())
        .filter(|line| {
            CONTEXT_EVENTS.contains(&line.name())
                || line.value("endpoint").is_some_and(|id| endpoints.contains(id))
        })
        .collect()
}

/// Hosts whose lines do not cover the time of the story, and lines that were dropped.
fn gaps(set: &LogSet, span: (u64, u64)) -> String {
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
