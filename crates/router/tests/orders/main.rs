//! Orders to engines, load tickets and KV moves over real sockets.

mod kv_moves;
mod labels;
mod leave;
mod pace;
mod support;
mod takeover;
