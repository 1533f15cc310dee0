mod log_line;
mod log_set;
mod story;

pub(crate) use story::{TraceQuery, trace};
