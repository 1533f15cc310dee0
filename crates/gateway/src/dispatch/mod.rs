mod answer_times;
mod answer_watch;
mod attempt;
mod candidates;
mod crash_checks;
mod endpoint_call;
mod endpoint_request;
mod event_splitter;
mod failure;
mod held_response;
mod placement_log;
mod request_parts;
mod response_meta;
mod run_request;
mod stream_origin;
mod stream_progress;
#[cfg(test)]
mod tests;

pub(crate) use {
    answer_times::AnswerTimes,
    candidates::{CandidateLimits, with_candidates},
    crash_checks::CrashChecks,
    run_request::run_request,
};
pub use {endpoint_request::EndpointRequest, response_meta::ResponseMeta};
