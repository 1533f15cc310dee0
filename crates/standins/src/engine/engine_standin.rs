use {
    crate::{
        endpoint::EndpointServer,
        engine::{EngineCore, EngineHandler, EngineOptions, Execution, ReceivedOrder},
    },
    std::{net::SocketAddr, sync::Arc, thread, time::Instant},
};

/// Test double of an inference engine with continuous batching and a prefix cache. It
/// generates text from hashes. Dropping it crashes it.
pub struct EngineStandin {
    core: Arc<EngineCore>,
    server: EndpointServer,
}

impl EngineStandin {
    /// Starts an engine on a port that the system assigns.
    ///
    /// Panics if an option is out of range.
    pub fn spawn(options: EngineOptions) -> Self {
        assert!(options.slots > 0, "slots is 0");
        assert!(options.time_scale > 0.0, "time_scale is not positive");
        assert!(options.step_ms > 0.0, "step_ms is not positive");
        assert!(
            (0.0..=1.0).contains(&options.cache_event_loss),
            "cache_event_loss is not in 0..=1"
        );
        let core = Arc::new(EngineCore::new(options));
        let scheduled = core.clone();
        let builder = thread::Builder::new().name("engine-scheduler".to_owned());
        builder.spawn(move || scheduled.run_scheduler()).expect("start the scheduler thread");
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
        self.core.read().identity.clone()
    }

    /// Number of waiting and running requests.
    pub fn in_flight(&self) -> usize {
        self.core.read().in_flight()
    }

    /// Refuses new requests from now on; requests in flight continue.
    pub fn set_leaving(&self) {
        self.core.change(|state, now| {
            state.leaving = true;
            state.record_load(now);
        });
    }

    /// Makes orders that load a model, adapter or version read its weights from the
    /// weight store with this base URL. They fail with status 503 if the read fails.
    pub fn set_weight_store(&self, url: String) {
        self.core.change(|state, _| state.weight_store_url = Some(url));
    }

    /// Multiplies all engine times by `factor`, including those of work in progress.
    ///
    /// Panics if the factor is not positive.
    pub fn set_slowdown(&self, factor: f64) {
        assert!(factor > 0.0, "factor is not positive");
        self.core.change(|state, now| state.clock.set_slowdown(factor, now));
    }

    /// Closes the listener and all connections at once and cancels all requests. The
    /// cache, the highest fencing number and the effects of orders are lost.
    pub fn crash(&self) {
        self.server.crash();
        self.core.change(|state, now| state.crash(now));
    }

    /// Crashes the engine if it is still up and starts it on the same address with a new
    /// identity.
    pub fn restart(&self) {
        self.crash();
        self.core.change(|state, now| state.restart(now));
        self.listen();
    }

    /// Closes the connections of all requests in flight. The requests continue and can be
    /// resumed within `resume_grace_ms`.
    pub fn break_connections(&self) {
        self.core.break_connections();
    }

    /// Executions since `spawn`, also those before a restart, in the order of their
    /// start.
    pub fn executions(&self) -> Vec<Execution> {
        self.core.read().executions.clone()
    }

    /// Orders received since `spawn`, refused ones included.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.core.read().received_orders.clone()
    }

    /// Arrival times of the requests refused because the engine was leaving.
    pub fn refused_leaving(&self) -> Vec<Instant> {
        self.core.read().refused_leaving.clone()
    }

    /// Number of requests refused because the queue was full.
    pub fn refused_full(&self) -> u64 {
        self.core.read().refused_full
    }

    fn listen(&self) {
        let handler = Arc::new(EngineHandler::new(self.core.clone()));
        self.server.start(&handler).expect("listen on the reserved port");
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.crash();
        self.core.stop();
    }
}
