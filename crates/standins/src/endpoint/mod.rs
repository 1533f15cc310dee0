mod answers;
mod broken_answer;
mod endpoint_server;

pub(crate) use {
    answers::{header_text, json_answer, query_number, refuse_unread, request_id, status_answer},
    broken_answer::BrokenAnswer,
    endpoint_server::EndpointServer,
};
