use {
    crate::{
        endpoint::EndpointServer,
        service::{ServiceCore, ServiceExecution, ServiceHandler, ServiceOptions},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Test double of a service endpoint, i.e. one that is not an engine. It serves any
/// method and path and records what it executed. Dropping it crashes it.
pub struct ServiceStandin {
    core: Arc<ServiceCore>,
    server: EndpointServer,
}

impl ServiceStandin {
    /// Starts a service on a port that the system assigns.
    pub fn spawn(options: ServiceOptions) -> Self {
        let core = Arc::new(ServiceCore::new(options));
        let server = EndpointServer::reserve().expect("reserve a loopback port");
        let standin = Self { core, server };
        standin.listen();
        standin
    }

    /// Listening address; a restart does not change it.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Identity, which each start generates anew.
    pub fn identity(&self) -> String {
        self.core.with(|state| state.identity.clone())
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> usize {
        self.core.with(|state| state.in_flight)
    }

    /// Sets the duration of executions that start from now on.
    pub fn set_service_time(&self, time: Duration) {
        self.core.with(|state| state.service_time = time);
    }

    /// Makes the next `count` executions take effect and then close their connections
    /// without a response.
    pub fn fail_after_effect(&self, count: u32) {
        self.core.with(|state| state.next_failures = count);
    }

    /// Makes executions take effect and then close their connections without a
    /// response, with a probability from 0 to 1.
    ///
    /// Panics if the probability is out of range.
    pub fn set_failure_probability(&self, probability: f64, seed: u64) {
        assert!((0.0..=1.0).contains(&probability), "probability is out of range");
        self.core.set_failure_probability(probability, seed);
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn set_leaving(&self) {
        self.core.with(|state| state.leaving = true);
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.server.crash();
        self.core.crash();
    }

    /// Crashes the service if it is still up and starts it on the same address with a
    /// new identity.
    pub fn restart(&self) {
        self.crash();
        self.core.restart();
        self.listen();
    }

    /// Executions since `spawn`, also those before a restart, in the order of their
    /// start.
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.core.with(|state| state.executions.clone())
    }

    /// Arrival times of the requests refused because the service was leaving.
    pub fn refused_leaving(&self) -> Vec<Instant> {
        self.core.with(|state| state.refused_leaving.clone())
    }

    fn listen(&self) {
        let handler = Arc::new(ServiceHandler::new(self.core.clone()));
        self.server.start(&handler).expect("listen on the reserved port");
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        self.crash();
    }
}
