mod log_line;
mod log_set;
mod report;

pub(crate) use report::{TraceQuery, trace};
