mod registry;

pub(crate) use registry::Metrics;
