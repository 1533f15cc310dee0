mod concurrency_limit;
mod fair_queue;
mod moving_mean;
mod permits;
mod service_queue;

pub(crate) use {
    permits::{NoPermit, Permit, PermitRequest, Permits},
    service_queue::Arrival,
};
