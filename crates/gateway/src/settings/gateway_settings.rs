use {
    super::overload_settings::OverloadSettings,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Share of the host's memory for buffered responses, and the same for buffered requests.
const MESSAGE_POOL_SHARE: f64 = 0.125;

/// Settings of the process, from a JSON file; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// ID of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Listener for callers.
    pub callers_address: SocketAddr,
    /// Listener for readiness probes of the load balancer.
    pub ready_address: SocketAddr,
    /// Listener for metrics; if absent, they are available only on the side address.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Listener for metrics and state, and for peers that read records of the store from this
    /// host.
    pub side_address: SocketAddr,
    /// UDP socket for gossip between hosts.
    pub gossip_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Maximum number of open files and sockets of the process.
    #[serde(default = "default_max_open_files")]
    pub max_open_files: u32,
    /// Memory of the host, in megabytes. Buffers for messages of endpoints and of callers get
    /// an eighth of it each.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Bandwidth of the host's network link, in megabits per second.
    pub link_mbps: f64,
    /// Interval at which an endpoint renews its record in the store, in ms.
    pub endpoint_heartbeat_ms: u64,
    pub bounds: Bounds,
    /// Whether the whole fleet starts for the first time: then no host is registered yet.
    #[serde(default)]
    pub is_first_start: bool,
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Log specification in the format of `flexi_logger`.
    #[serde(default = "default_log_spec")]
    pub log_spec: String,
}

/// Time limits of the deployment and the retry budget of each service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Whether API keys are refused while the store does not confirm the configuration.
    pub refuses_unconfirmed_keys: bool,
    /// Time after which a revoked API key must be refused, in ms.
    pub key_revocation_ms: f64,
    /// Time after which a configuration change must be in force, in ms.
    pub config_apply_ms: f64,
    /// Time after which a draining endpoint must receive no new work, in ms.
    pub endpoint_drain_ms: f64,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Retries per request that the whole fleet may send.
    pub retry_budget_ratio: f64,
    /// Length of the sliding window of the retry budget, in seconds.
    pub retry_budget_window_s: f64,
    /// Retries in a window that the whole fleet may send in addition to the ratio.
    pub retry_budget_allowance: f64,
    /// Requests per second that the whole fleet may send to a cold endpoint, as a multiple of what
    /// the endpoint bears.
    #[serde(default = "default_cold_request_factor")]
    pub cold_request_factor: f64,
}

impl GatewaySettings {
    /// Bytes that buffered responses of endpoints may take together; buffered requests of
    /// callers may take as many.
    pub(crate) fn message_pool_bytes(&self) -> usize {
        (self.memory_mb.max(0.0) * 1_000_000.0 * MESSAGE_POOL_SHARE) as usize
    }
}

impl Bounds {
    pub(crate) fn key_revocation(&self) -> Duration {
        Duration::from_secs_f64(self.key_revocation_ms.max(0.0) / 1_000.0)
    }

    pub(crate) fn config_apply(&self) -> Duration {
        Duration::from_secs_f64(self.config_apply_ms.max(0.0) / 1_000.0)
    }

    pub(crate) fn endpoint_drain(&self) -> Duration {
        Duration::from_secs_f64(self.endpoint_drain_ms.max(0.0) / 1_000.0)
    }

    pub(crate) fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s.max(0.0))
    }

    pub(crate) fn retry_budget_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_budget_window_s.max(0.1))
    }
}

fn default_max_open_files() -> u32 {
    1_024
}

fn default_cold_request_factor() -> f64 {
    1.0
}

fn default_memory_mb() -> f64 {
    128.0
}

fn default_log_spec() -> String {
    "info".to_owned()
}
