//! Operator command line of mangobridge.

mod args;
mod client;
mod commands;
mod failure;
mod output;
mod trace;

pub use {args::Args, commands::run};
