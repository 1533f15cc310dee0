use {
    crate::{
        endpoint::EndpointServer,
        engine::{EngineCore, EngineHandler, EngineOptions, Execution, ReceivedOrder},
    },
    std::{net::SocketAddr, sync::Arc, thread, time::Instant},
};

/// An inference engine with continuous batching and a prefix cache. Dropping
/// it is a crash.
pub struct EngineStandin {
    core: Arc<EngineCore>,
    server: EndpointServer,
}

impl EngineStandin {
    /// Starts an engine on a port chosen by the system.
    ///
    /// Panics if an option is out of range.
    pub fn spawn(options: EngineOptions) -> Self {
        assert!(options.slots > 0, "slots is 0");
        assert!(options.time_scale > 0.0, "time_scale is not positive");
        assert!(options.step_ms > 0.0, "step_ms is not positive");
        assert!((0.0..=1.0).contains(&options.cache_event_loss), "cache_event_loss is no share");
        let core = Arc::new(EngineCore::new(options));
        let scheduled = core.clone();
        let builder = thread::Builder::new().name("engine-scheduler".to_owned());
        builder.spawn(move || scheduled.run_scheduler()).expect("thread for the scheduler");
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
        self.core.read().identity.clone()
    }

    /// Requests admitted and not ended.
    pub fn in_flight(&self) -> usize {
        self.core.read().in_flight()
    }

    /// Refuses new requests from now on; requests in flight go on.
    pub fn set_leaving(&self) {
        self.core.change(|state, now| {
            state.leaving = true;
            state.record_load(now);
        });
    }

    /// Makes loads read from a weight store and fail with 503 while it is down.
    pub fn set_weight_store(&self, url: String) {
        self.core.change(|state, _| state.weight_store_url = Some(url));
    }

    /// Multiplies all engine times, also of work in progress.
    ///
    /// Panics if the factor is not positive.
    pub fn set_slowdown(&self, factor: f64) {
        assert!(factor > 0.0, "factor is not positive");
        self.core.change(|state, now| state.clock.set_slowdown(factor, now));
    }

    /// Closes the listener, cuts all connections and ends all requests. Cache,
    /// fencing number and loaded items are lost.
    pub fn crash(&self) {
        self.server.crash();
        self.core.change(|state, now| state.crash(now));
    }

    /// Starts again on the same address with a new identity, after a crash if
    /// the engine is still up.
    pub fn restart(&self) {
        self.crash();
        self.core.change(|state, now| state.restart(now));
        self.listen();
    }

    /// Cuts the connections of all requests in flight; the requests go on for
    /// the resume grace.
    pub fn break_connections(&self) {
        self.core.break_connections();
    }

    /// Executions of all starts, in the order in which they began.
    pub fn executions(&self) -> Vec<Execution> {
        self.core.read().executions.clone()
    }

    /// Orders of all starts, refused ones included.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.core.read().received_orders.clone()
    }

    /// Arrival times of the requests refused because the engine was leaving.
    pub fn refused_leaving(&self) -> Vec<Instant> {
        self.core.read().refused_leaving.clone()
    }

    /// Requests refused because the queue was full.
    pub fn refused_full(&self) -> u64 {
        self.core.read().refused_full
    }

    fn listen(&self) {
        let handler = Arc::new(EngineHandler::new(self.core.clone()));
        self.server.start(&handler).expect("reserved port");
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.crash();
        self.core.stop();
    }
}
