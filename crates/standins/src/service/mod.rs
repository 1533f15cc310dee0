mod service_core;
mod service_execution;
mod service_handler;
mod service_options;
mod service_standin;

pub(crate) use {
    service_core::{Admission, Outcome, ServiceCore},
    service_handler::ServiceHandler,
};
pub use {
    service_execution::ServiceExecution, service_options::ServiceOptions,
    service_standin::ServiceStandin,
};
