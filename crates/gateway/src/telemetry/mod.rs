mod event;
mod gateway_metrics;
mod non_blocking_writer;
mod optional_millis;
mod process_usage;
mod start_logging;
#[cfg(test)]
mod tests;

pub(crate) use {
    event::event, gateway_metrics::GatewayMetrics, optional_millis::OptionalMillis,
    process_usage::ProcessUsage, start_logging::start_logging,
};
