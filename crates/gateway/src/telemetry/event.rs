/// Logs an event at level info as `event=<name> key=value ...`.
macro_rules! event {
    ($name:literal) => {
        log::info!(concat!("event=", $name))
    };
    ($name:literal, $($arguments:tt)+) => {
        log::info!("event={} {}", $name, format_args!($($arguments)+))
    };
}

pub(crate) use event;
