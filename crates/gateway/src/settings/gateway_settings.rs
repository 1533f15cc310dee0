use {
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a process; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Serves callers.
    pub callers_address: SocketAddr,
    /// Tells the balancer whether new connections are wanted.
    pub ready_address: SocketAddr,
    /// Serves metrics to the operators; without it only the side address does.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Serves metrics, and records of the store to peers.
    pub side_address: SocketAddr,
    /// Datagrams between hosts.
    pub gossip_address: SocketAddr,
    pub store_address: SocketAddr,
    /// Most open files and sockets of the process.
    #[serde(default = "default_max_open_files")]
    pub max_open_files: u32,
    /// Bandwidth of the host's link, in megabits per second.
    pub link_mbps: f64,
    /// Pause between two records of an endpoint, in ms.
    pub endpoint_heartbeat_ms: u64,
    pub bounds: Bounds,
    /// A flexi_logger specification.
    #[serde(default = "default_log_spec")]
    pub log_spec: String,
}

/// Time limits and budgets that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Whether keys are refused while the store cannot confirm them.
    pub refuses_unconfirmed_keys: bool,
    /// A key that was taken away must be refused after this time, in ms.
    pub key_revocation_ms: f64,
    /// A change of the configuration must be in force after this time, in ms.
    pub config_apply_ms: f64,
    /// An endpoint that leaves must get no new work after this time, in ms.
    pub endpoint_drain_ms: f64,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Repeats per request that the whole fleet may make.
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_budget_window_s: f64,
    /// Repeats in a window that the whole fleet may make beyond the ratio.
    pub retry_budget_allowance: f64,
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

fn default_log_spec() -> String {
    "info".to_owned()
}
