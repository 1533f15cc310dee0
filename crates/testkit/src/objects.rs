use {
    mango_wire::config::{
        ConfigObject, Endpoint, EndpointKind, Pool, Route, Team, Work, WorkClass,
    },
    std::net::SocketAddr,
};

/// Builds the configuration objects of a test fleet.
#[derive(Clone, Debug, Default)]
pub struct ObjectsBuilder {
    objects: Vec<ConfigObject>,
}

impl ObjectsBuilder {
    pub fn endpoint(mut self, endpoint: Endpoint) -> Self {
        self.objects.push(ConfigObject::Endpoint(endpoint));
        self
    }

    /// Adds a pool that selects all endpoints whose label `pool` equals `id`. `cap_multiple`
    /// limits the load of each engine, as a multiple of its share by weight of the pool's
    /// requests in progress.
    pub fn pool(mut self, id: &str, cap_multiple: f64) -> Self {
        let selector = format!("pool={id}");
        self.objects.push(ConfigObject::Pool(Pool { id: id.to_owned(), selector, cap_multiple }));
        self
    }

    pub fn team(mut self, id: &str, weight: f64, max_in_flight: u32) -> Self {
        let labels = Default::default();
        self.objects.push(ConfigObject::Team(Team {
            id: id.to_owned(),
            labels,
            weight,
            max_in_flight,
        }));
        self
    }

    /// Adds a kind of work without labels.
    pub fn work(
        mut self,
        id: &str,
        idempotent: bool,
        class: WorkClass,
        expected_tokens: u32,
        deadline_ms: u32,
    ) -> Self {
        self.objects.push(ConfigObject::Work(Work {
            id: id.to_owned(),
            labels: Default::default(),
            idempotent,
            class,
            expected_tokens,
            deadline_ms,
        }));
        self
    }

    /// Adds a route that sends one kind of work, from all teams, to a pool. `service` is the
    /// name of the plain service in request paths; `None` for requests to engines.
    pub fn route(mut self, work: &str, pool: &str, service: Option<&str>) -> Self {
        self.objects.push(ConfigObject::Route(Route {
            id: format!("{work}-to-{pool}"),
            work: format!("work.id={work}"),
            team: String::new(),
            pool: pool.to_owned(),
            service: service.map(str::to_owned),
        }));
        self
    }

    pub fn build(self) -> Vec<ConfigObject> {
        self.objects
    }
}

/// Creates an engine endpoint in a pool.
pub fn engine_endpoint(id: &str, address: SocketAddr, pool: &str, slots: u32) -> Endpoint {
    endpoint(id, EndpointKind::Engine, address, pool, slots)
}

/// Creates a plain-service endpoint in a pool.
pub fn service_endpoint(id: &str, address: SocketAddr, pool: &str, slots: u32) -> Endpoint {
    endpoint(id, EndpointKind::Service, address, pool, slots)
}

fn endpoint(id: &str, kind: EndpointKind, address: SocketAddr, pool: &str, slots: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        kind,
        address: address.to_string(),
        region: "local".to_owned(),
        zone: "zone-a".to_owned(),
        labels: [("pool".to_owned(), pool.to_owned())].into(),
        slots,
        weight: 1.0,
        checks_fencing: true,
        repeatable: Vec::new(),
    }
}
