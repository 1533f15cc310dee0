use {
    mango_standins::{EngineOptions, ServiceOptions},
    mango_wire::settings::Settings,
};

/// What a `LocalFleet` consists of.
#[derive(Clone)]
pub struct FleetOptions {
    pub routers: usize,
    /// Availability zones that the routers are spread over.
    pub zones: usize,
    pub engines: Vec<EngineOptions>,
    pub services: Vec<ServiceOptions>,
    /// Called on the settings of each router before it starts.
    pub adjust: fn(&mut Settings),
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self { routers: 3, zones: 2, engines: Vec::new(), services: Vec::new(), adjust: |_| {} }
    }
}
