mod bounded_writer;
mod event;
mod gateway_metrics;
mod start_logging;

pub(crate) use {event::event, gateway_metrics::GatewayMetrics, start_logging::start_logging};
