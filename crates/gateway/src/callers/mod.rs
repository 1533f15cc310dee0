mod admission;
mod admitted_request;
mod caller_request;
mod caller_sink;
mod caller_task;
mod protocol;
mod refusal;
mod request_body;

pub(crate) use {
    admission::{recheck_api_key, with_jitter},
    admitted_request::AdmittedRequest,
    caller_sink::CallerSink,
    caller_task::serve_caller,
    refusal::Refusal,
};
pub use {
    caller_request::{CallerRequest, InvalidHeader, PromptPartId, PromptPrefix},
    protocol::Protocol,
};
