//! Operator command line of mangobridge.

mod args;
mod client;
mod commands;
mod copies;
mod failure;
mod output;
mod trace;

pub use {args::Args, commands::run};
