//! Requests of callers over real sockets: refusals, verdicts, streams and limits.

mod at_most_once;
mod limits;
mod refusals;
mod streams;
mod support;
