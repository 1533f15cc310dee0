mod caller_handler;
mod caller_metrics;
mod chat_body;
mod in_flight_limiter;
mod problem_response;
mod request_headers;
mod sse_source;

pub(crate) use {
    caller_handler::CallerHandler,
    caller_metrics::CallerMetrics,
    in_flight_limiter::{InFlightGuard, InFlightLimiter},
};
