mod call_failure;
mod engine;
mod engine_answer;
mod engine_event;
mod http_client;
mod http_engine;
mod http_service;
mod service;
mod worker_pool;

pub(crate) use {
    call_failure::CallFailure,
    engine::{Engine, EngineCall},
    engine_answer::EngineAnswer,
    engine_event::{EngineEvent, Token, Usage},
    http_client::HttpClient,
    http_engine::HttpEngine,
    http_service::HttpService,
    service::{Service, ServiceAnswer, ServiceCall},
    worker_pool::{Job, WorkerPool},
};
