mod answer_meta;
mod attempt;
mod endpoint_call;
mod endpoint_request;
mod event_splitter;
mod failure;
mod run_request;
mod stream_progress;
#[cfg(test)]
mod tests;

pub(crate) use run_request::run_request;
pub use {answer_meta::AnswerMeta, endpoint_request::EndpointRequest};
