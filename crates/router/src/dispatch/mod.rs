mod attempt;
mod chat_answer;
mod chat_call;
mod chat_run;
mod chat_stream;
mod claim_client;
mod decision_log;
mod dispatch_metrics;
mod dispatcher;
mod endpoint_clients;
mod engine_job;
mod extra_call_budget;
mod permit;
mod permit_client;
mod permit_reply;
mod placement_trace;
mod placer;
mod refusal;
mod relocator;
mod request_context;
mod service_reply;
mod service_request;
#[cfg(test)]
mod tests;

pub(crate) use {
    chat_answer::ChatAnswer,
    chat_call::ChatCall,
    chat_stream::{ChatItem, ChatStream},
    claim_client::ClaimClient,
    decision_log::{Decision, DecisionLog, now_ms},
    dispatch_metrics::DispatchMetrics,
    dispatcher::{Dispatcher, DispatcherParts},
    endpoint_clients::EndpointClients,
    permit_client::PermitClient,
    permit_reply::PermitReply,
    refusal::Refusal,
    request_context::RequestContext,
    service_reply::ServiceReply,
    service_request::ServiceRequest,
};
