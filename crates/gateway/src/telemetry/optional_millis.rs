use std::{fmt, time::Duration};

/// A time in milliseconds in a log line; `-` if it is not known.
pub(crate) struct OptionalMillis(pub(crate) Option<Duration>);

impl fmt::Display for OptionalMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{}", time.as_millis()),
            None => f.write_str("-"),
        }
    }
}
