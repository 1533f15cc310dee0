mod aborted_response;
mod answers;
mod endpoint_server;

pub(crate) use {
    aborted_response::AbortedResponse,
    answers::{
        header_text, json_response, query_number, refuse_unread, request_id, status_response,
    },
    endpoint_server::EndpointServer,
};
