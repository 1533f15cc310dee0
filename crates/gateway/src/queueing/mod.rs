mod concurrency_limit;
mod fair_queue;
mod permits;
mod route_durations;
mod service_queue;
#[cfg(test)]
mod tests;

pub(crate) use {
    permits::{NoPermit, Permit, PermitRequest, Permits},
    service_queue::Arrival,
};
