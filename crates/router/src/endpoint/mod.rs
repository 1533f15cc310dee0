mod call_failure;
mod engine;
mod engine_event;
mod engine_event_stream;
mod http_client;
mod http_engine;
mod http_service;
mod service;
mod worker_pool;

pub(crate) use {
    call_failure::CallFailure,
    engine::{Engine, EngineCall},
    engine_event::{EngineEvent, Token, Usage},
    engine_event_stream::EngineEventStream,
    http_client::HttpClient,
    http_engine::HttpEngine,
    http_service::HttpService,
    service::{Service, ServiceCall, ServiceResponse},
    worker_pool::{Job, WorkerPool},
};
