/// Options of a stand-in service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Initial duration of an execution.
    pub service_ms: u64,
    /// Limit for concurrent requests; more are refused with 429.
    pub max_in_flight: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self { service_ms: 0, max_in_flight: 4096 }
    }
}
