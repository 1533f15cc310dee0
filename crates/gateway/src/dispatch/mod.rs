mod answer_meta;
mod attempt;
mod candidates;
mod endpoint_call;
mod endpoint_request;
mod event_splitter;
mod failure;
mod run_request;
mod stream_progress;
#[cfg(test)]
mod tests;

pub use {answer_meta::AnswerMeta, endpoint_request::EndpointRequest};
pub(crate) use {
    candidates::{Asked, with_candidates},
    run_request::run_request,
};
