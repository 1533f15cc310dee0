mod decisions;
pub(crate) mod memory_log;
mod peers;
mod placement_size;
pub(crate) mod store;
