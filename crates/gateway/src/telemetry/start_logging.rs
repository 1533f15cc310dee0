use {
    super::non_blocking_writer::NonBlockingWriter,
    anyhow::{Context, Result},
    flexi_logger::{Logger, LoggerHandle},
};

/// Keeps the logger running and flushes it when dropped.
pub(crate) struct LogGuard(LoggerHandle);

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Starts logging to standard output, one line per event. `spec` is a `flexi_logger` log
/// specification such as `info`.
pub(crate) fn start_logging(spec: &str) -> Result<LogGuard> {
    let writer = NonBlockingWriter::spawn().context("cannot start the log thread")?;
    let handle = Logger::try_with_str(spec)
        .with_context(|| format!("invalid log_spec {spec:?}"))?
        .log_to_writer(Box::new(writer))
        .start()
        .context("cannot start the logger")?;
    Ok(LogGuard(handle))
}
