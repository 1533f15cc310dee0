mod args;
mod run;

pub(crate) use args::Args;
pub use run::run;
