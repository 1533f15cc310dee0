mod args;

pub(crate) use args::Args;
