use {
    anyhow::{Context, Result},
    flexi_logger::{DeferredNow, Logger, LoggerHandle},
    log::Record,
    std::io::{self, Write},
};

/// Starts logging to standard error with one line per event. `spec` is a
/// flexi_logger specification, as in the setting `log_spec`. Logging ends when
/// the handle is dropped.
pub(crate) fn start_logging(spec: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(spec)
        .with_context(|| format!("invalid log_spec {spec:?}"))?
        .format(format_line)
        .log_to_stderr()
        .start()
        .context("cannot start the logger")
}

/// Writes the time, the level and the message of a record as one line. Messages
/// have the form `event=<name> key=value ...`; `quoted` formats a value that may
/// contain white space, quotes or `=`.
pub(super) fn format_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(out, "ts={} level={level} ", now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ"))?;
    // a line break in a message must not start a new event
    let message = record.args().to_string().replace(['\n', '\r'], " ");
    out.write_all(message.as_bytes())
}
