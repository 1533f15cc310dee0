//! Operator command line of mangobridge.

mod args;
mod client;
mod commands;
mod failure;
mod output;

pub use {args::Args, commands::run};
