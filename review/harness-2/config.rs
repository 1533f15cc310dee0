//! The operator's configuration and the settings of a router.

pub const HOST_NAME: &str = "portal.example";
pub const API_KEY: &str = "key-of-team-1";
pub const HEARTBEAT_MS: u64 = 1_200;

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub is_resumable: bool,
}

impl Route {
    fn to_json(&self) -> String {
        let Route { name, kind, service, timeout_ms, max_attempts, is_resumable } = self;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"service\":\"{service}\",\"timeoutMs\":{timeout_ms},\
             \"targetLatencyMs\":800,\"maxAttempts\":{max_attempts},\"priority\":1,\
             \"resumable\":{is_resumable},\"gapAimMs\":600}}"
        )
    }
}

/// The first version of a configuration with these routes and one team.
pub fn config(routes: &[Route]) -> String {
    let text: Vec<String> = routes.iter().map(Route::to_json).collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":560}}")
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"team-1\",\"apiKeys\":[\"{API_KEY}\"]}}]}}",
        text.join(","),
        services.join(",")
    )
}

/// Ports of a router.
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub side: u16,
    pub gossip: u16,
    pub store: u16,
}

/// Settings as the template of the deploy file gives them on the smallest machines of the site.
pub fn settings(ports: &Ports, memory_mb: u32) -> String {
    let Ports { callers, ready, side, gossip, store } = ports;
    format!(
        "{{\"host\":\"front-marmara-b-1\",\"zone\":\"marmara-b\",\
         \"callers_address\":\"127.0.0.1:{callers}\",\"ready_address\":\"127.0.0.1:{ready}\",\
         \"side_address\":\"127.0.0.1:{side}\",\"gossip_address\":\"127.0.0.1:{gossip}\",\
         \"store_address\":\"127.0.0.1:{store}\",\"max_open_files\":10022,\
         \"memory_mb\":{memory_mb},\"link_mbps\":24.0,\"is_first_start\":true,\
         \"endpoint_heartbeat_ms\":{HEARTBEAT_MS},\"bounds\":{{\"refuses_unconfirmed_keys\":true,\
         \"key_revocation_ms\":5000,\"config_apply_ms\":3000,\"endpoint_drain_ms\":3000,\
         \"stop_grace_s\":8,\"retry_budget_ratio\":0.2,\"retry_budget_window_s\":10,\
         \"retry_budget_allowance\":190}}}}"
    )
}
