use {
    crate::{
        endpoint::EndpointServer,
        platform::{
            FaultInjector, LogCounters, LogStore, Outage, PlatformService, WeightRateLimiter,
        },
    },
    mango_wire::platform::{HostEntry, LogRecord},
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

// Initial rate limit of the weight store.
const WEIGHT_READS_PER_S: f64 = 10.0;

/// Test double of the platform: append-only log, host list and store of model weights,
/// all on one port.
///
/// Dropping it closes the listener and all connections.
pub struct PlatformStandin {
    server: EndpointServer,
    service: Arc<PlatformService>,
}

impl PlatformStandin {
    /// Starts the platform with an empty log and an empty host list.
    pub fn spawn() -> Self {
        let service = Arc::new(PlatformService {
            log: LogStore::new(),
            hosts: Mutex::default(),
            hosts_faults: FaultInjector::default(),
            weights: Mutex::new(WeightRateLimiter::new(WEIGHT_READS_PER_S)),
            weights_faults: FaultInjector::default(),
        });
        let server = EndpointServer::reserve().expect("reserve a loopback port");
        server.start(&service).expect("listen on the reserved port");
        Self { server, service }
    }

    /// Address on which the log, the host list and the weight store listen.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL of the log.
    pub fn log_url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Base URL of the host list.
    pub fn host_list_url(&self) -> String {
        self.log_url()
    }

    /// Base URL of the weight store.
    pub fn weight_store_url(&self) -> String {
        self.log_url()
    }

    /// Appends a record directly, unaffected by faults, and returns its offset.
    pub fn append(&self, stream: &str, body: &str) -> u64 {
        self.service.log.append(stream, body.to_owned())
    }

    /// All records of a stream, expired ones included.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.service.log.records(stream)
    }

    /// Sorted names of all streams that were read or written.
    pub fn stream_names(&self) -> Vec<String> {
        self.service.log.stream_names()
    }

    /// Offset that the next append will get.
    pub fn next_offset(&self) -> u64 {
        self.service.log.next_offset()
    }

    /// Counts of log requests.
    pub fn log_counters(&self) -> LogCounters {
        self.service.log.counters()
    }

    /// Starts or ends an outage of the log, which also affects waiting long polls.
    pub fn set_log_outage(&self, outage: Outage) {
        self.service.log.faults.set_outage(outage);
        self.service.log.wake_readers();
    }

    /// Delays every log request from now on before it takes effect.
    pub fn set_log_delay(&self, delay: Duration) {
        self.service.log.faults.set_delay(delay);
    }

    /// Makes the next `count` appends take effect and then close their connections
    /// without a response.
    pub fn lose_append_responses(&self, count: u32) {
        self.service.log.lose_responses(count);
    }

    /// Makes appends take effect and then close their connections without a response,
    /// with a probability from 0 to 1.
    ///
    /// Panics if the probability is out of range.
    pub fn set_append_response_loss(&self, probability: f64, seed: u64) {
        assert!((0.0..=1.0).contains(&probability), "probability is out of range");
        self.service.log.set_response_loss(probability, seed);
    }

    /// Expires the records of all streams below an offset: reads over HTTP skip them,
    /// `records` still returns them.
    pub fn expire_before(&self, offset: u64) {
        self.service.log.expire_before(offset);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.service.hosts.lock().set(hosts);
    }

    /// Adds a host or replaces the entry with the same `host_id`.
    pub fn put_host(&self, entry: HostEntry) {
        let mut history = self.service.hosts.lock();
        let mut hosts = history.current();
        hosts.retain(|h| h.host_id != entry.host_id);
        hosts.push(entry);
        history.set(hosts);
    }

    /// Removes a host.
    pub fn remove_host(&self, host_id: &str) {
        let mut history = self.service.hosts.lock();
        let mut hosts = history.current();
        hosts.retain(|h| h.host_id != host_id);
        history.set(hosts);
    }

    /// Sets the age of the host list that is served; initially 0.
    pub fn set_host_list_lag(&self, lag: Duration) {
        self.service.hosts.lock().set_lag(lag);
    }

    /// Starts or ends an outage of the host list.
    pub fn set_host_list_outage(&self, outage: Outage) {
        self.service.hosts_faults.set_outage(outage);
    }

    /// Starts or ends an outage of the weight store.
    pub fn set_weight_store_outage(&self, outage: Outage) {
        self.service.weights_faults.set_outage(outage);
    }

    /// Sets the reads per second that the weight store allows; initially 10. A burst
    /// may have as many reads as one second.
    pub fn set_weight_rate(&self, per_second: f64) {
        self.service.weights.lock().set(per_second);
    }

    /// Number of weight reads that were served, and of those refused with status 429.
    pub fn weight_reads(&self) -> (u64, u64) {
        let rate = self.service.weights.lock();
        (rate.served, rate.refused)
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.service.close();
        self.server.crash();
    }
}
