use std::{fmt, time::Duration};

/// Formats a duration for a log line: whole milliseconds, or `-` if there is none.
pub(crate) struct OptionalMillis(pub(crate) Option<Duration>);

impl fmt::Display for OptionalMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{}", time.as_millis()),
            None => f.write_str("-"),
        }
    }
}
