mod decisions;
pub(crate) mod memory_log;
mod peers;
mod placement_size;
mod routes;
pub(crate) mod store;
