use {
    parking_lot::Mutex,
    prometheus_client::{
        encoding::text::encode,
        registry::{Metric, Registry},
    },
    std::{fmt, sync::Arc},
};

/// Registry of a process's metrics. Each module registers its own metrics when it
/// is constructed and keeps clones of them.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// Creates an empty registry; all names get the prefix `mangobridge_`.
    pub(crate) fn new() -> Self {
        Self { registry: Arc::new(Mutex::new(Registry::with_prefix("mangobridge"))) }
    }

    /// Registers a metric and returns it. The text format appends `_total` to counters.
    pub(crate) fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.registry.lock().register(name, help, metric.clone());
        metric
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry.lock())?;
        Ok(text)
    }
}
