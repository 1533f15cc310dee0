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

/// A plain service that answers any method and path and records what it
/// executed. Dropping it is a crash.
pub struct ServiceStandin {
    core: Arc<ServiceCore>,
    server: EndpointServer,
}

impl ServiceStandin {
    /// Starts a service on a port chosen by the system.
    pub fn spawn(options: ServiceOptions) -> Self {
        let core = Arc::new(ServiceCore::new(options));
        let server = EndpointServer::reserve().expect("loopback port");
        let standin = Self { core, server };
        standin.listen();
        standin
    }

    /// Address, the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Identity of the last start.
    pub fn identity(&self) -> String {
        self.core.with(|state| state.identity.clone())
    }

    /// Requests that run.
    pub fn in_flight(&self) -> usize {
        self.core.with(|state| state.in_flight)
    }

    /// Time of the executions that begin from now on.
    pub fn set_service_time(&self, time: Duration) {
        self.core.with(|state| state.service_time = time);
    }

    /// Drops the connections of the next `count` executions after the effect.
    pub fn fail_after_effect(&self, count: u32) {
        self.core.with(|state| state.failures = count);
    }

    /// Drops connections after the effect with a probability from 0 to 1.
    ///
    /// Panics if the probability is out of range.
    pub fn set_failure_probability(&self, probability: f64, seed: u64) {
        assert!((0.0..=1.0).contains(&probability), "probability is out of range");
        self.core.set_failure_probability(probability, seed);
    }

    /// Refuses new requests from now on; requests in flight go on.
    pub fn set_leaving(&self) {
        self.core.with(|state| state.leaving = true);
    }

    /// Closes the listener and cuts all connections.
    pub fn crash(&self) {
        self.server.crash();
        self.core.crash();
    }

    /// Starts again on the same address with a new identity, after a crash if
    /// the service is still up.
    pub fn restart(&self) {
        self.crash();
        self.core.restart();
        self.listen();
    }

    /// Executions of all starts, in the order in which they began.
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.core.with(|state| state.executions.clone())
    }

    /// Arrival times of the requests refused because the service was leaving.
    pub fn refused_leaving(&self) -> Vec<Instant> {
        self.core.with(|state| state.refused_leaving.clone())
    }

    fn listen(&self) {
        let handler = Arc::new(ServiceHandler::new(self.core.clone()));
        self.server.start(&handler).expect("reserved port");
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        self.crash();
    }
}
