use {
    mango_standins::PlatformStandin,
    mango_wire::settings::{PlatformSettings, Settings},
};

/// Operator token of all test fleets.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";
/// Secret that the routers of a test fleet share.
const PEER_SECRET: &str = "peer-secret-for-tests";

/// Settings of one router on loopback. Port 0 stands for a free port, and a section that is
/// `None` for its default limits and timeouts.
pub fn router_settings(platform: &PlatformStandin, host_id: &str, zone: &str) -> Settings {
    Settings {
        host_id: host_id.to_owned(),
        region: "local".to_owned(),
        zone: zone.to_owned(),
        caller_address: "127.0.0.1:0".to_owned(),
        operator_address: "127.0.0.1:0".to_owned(),
        peer_address: "127.0.0.1:0".to_owned(),
        peer_secret: PEER_SECRET.to_owned(),
        operator_token: OPERATOR_TOKEN.to_owned(),
        seeds: Vec::new(),
        platform: platform_settings(platform),
        callers: None,
        ownership: None,
        membership: None,
        admission: None,
        health: None,
        dispatch: None,
        claims: None,
        orders: None,
        log_spec: "warn".to_owned(),
    }
}

fn platform_settings(platform: &PlatformStandin) -> PlatformSettings {
    PlatformSettings {
        log_url: platform.log_url(),
        host_list_url: platform.host_list_url(),
        weight_store_url: platform.weight_store_url(),
        poll_ms: 250,
        request_ms: 1000,
        reconnect_max_ms: 1000,
        host_list_ms: 1000,
        retention_ms: 86_400_000,
        max_record_bytes: 1_048_576,
    }
}
