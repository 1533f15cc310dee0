//! HTTP/1.1 server on hyper with blocking handlers: one thread per connection,
//! streamed responses that are flushed after each chunk, limits on connections
//! and sizes, and graceful shutdown.

mod body;
mod caller_connection;
mod server;

pub use {
    body::{BodyError, ChunkSource, Response, ResponseBody, read_body},
    caller_connection::CallerConnection,
    server::{Handler, HttpServer, Request, ServerLimits},
};
