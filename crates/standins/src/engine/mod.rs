mod answer_text;
mod cache_event_log;
mod chat_request;
mod engine_clock;
mod engine_core;
mod engine_handler;
mod engine_options;
mod engine_standin;
mod engine_state;
mod execution;
mod job;
mod job_connection;
mod load_history;
mod order_state;
mod prefix_cache;
mod received_order;
mod token_stream;

pub(crate) use {
    answer_text::AnswerText,
    cache_event_log::CacheEventLog,
    chat_request::ChatRequest,
    engine_clock::EngineClock,
    engine_core::{Admission, EngineCore},
    engine_handler::EngineHandler,
    engine_state::EngineState,
    job::{Job, JobEnd},
    job_connection::JobConnection,
    load_history::{LoadHistory, LoadSnapshot},
    order_state::OrderState,
    prefix_cache::PrefixCache,
    token_stream::{ResponseSource, TokenStream},
};
pub use {
    answer_text::{expected_answer, expected_token},
    engine_options::EngineOptions,
    engine_standin::EngineStandin,
    execution::Execution,
    received_order::ReceivedOrder,
};
