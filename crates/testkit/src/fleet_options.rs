use {
    mango_standins::{EngineOptions, ServiceOptions},
    mango_wire::settings::Settings,
};

/// Number of routers and zones of a `LocalFleet`, its endpoints and its settings.
#[derive(Clone)]
pub struct FleetOptions {
    pub routers: usize,
    /// Number of availability zones; routers are assigned to them round-robin.
    pub zones: usize,
    pub engines: Vec<EngineOptions>,
    pub services: Vec<ServiceOptions>,
    /// Modifies the settings of each router before it starts.
    pub adjust: fn(&mut Settings),
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self { routers: 3, zones: 2, engines: Vec::new(), services: Vec::new(), adjust: |_| {} }
    }
}
