mod caller_handler;
mod caller_metrics;
mod chat_body;
mod in_flight;
mod problem_answer;
mod request_headers;
mod sse_source;
#[cfg(test)]
mod tests;

pub(crate) use {
    caller_handler::CallerHandler,
    in_flight::{InFlight, InFlightGuard},
};
