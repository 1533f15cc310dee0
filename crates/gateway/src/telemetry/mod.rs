mod bounded_writer;
mod event;
mod gateway_metrics;
mod process_usage;
mod shown_ms;
mod start_logging;

pub(crate) use {
    event::event, gateway_metrics::GatewayMetrics, process_usage::ProcessUsage, shown_ms::ShownMs,
    start_logging::start_logging,
};
