//! Blocking HTTP/1.1 server on hyper: one thread per connection, streamed
//! answers that are flushed chunk by chunk, limits, and graceful shutdown.

mod body;
mod caller_link;
mod server;

pub use {
    body::{Answer, AnswerBody, BodyError, ChunkSource, read_body},
    caller_link::CallerLink,
    server::{Handler, HttpServer, Request, ServerLimits},
};
