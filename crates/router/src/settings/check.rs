use {
    flexi_logger::LogSpecification,
    log::LevelFilter,
    mango_wire::settings::Settings,
    std::{fmt::Display, net::SocketAddr},
};

const MIN_SECRET_CHARS: usize = 16;
const MAX_ID_BYTES: usize = 128;
const MIN_RECORD_BYTES: u32 = 64 * 1024;
const MAX_KEY_RANGES: u32 = 1024;

/// Checks the rules that the types can't express. Returns one message per invalid setting,
/// with the path of the setting and the expected value.
pub(crate) fn check_settings(settings: &Settings) -> Vec<String> {
    let mut errors = SettingErrors::default();
    check_host(settings, &mut errors);
    check_addresses(settings, &mut errors);
    check_secrets(settings, &mut errors);
    check_platform_and_ownership(settings, &mut errors);
    check_callers(settings, &mut errors);
    check_membership(settings, &mut errors);
    check_admission(settings, &mut errors);
    check_health(settings, &mut errors);
    check_dispatch(settings, &mut errors);
    check_claims_and_orders(settings, &mut errors);
    check_log_spec(&settings.log_spec, &mut errors);
    errors.0
}

fn check_log_spec(spec: &str, errors: &mut SettingErrors) {
    if let Err(e) = LogSpecification::parse(spec) {
        errors.add("log_spec", format!("{e}, expected for example \"info\""));
        return;
    }
    // the library interprets a word that is not a level as the name of a module, which
    // would turn off the log lines of all other modules
    let words = spec.split('/').next().unwrap_or_default().split(',').map(str::trim);
    for word in words.filter(|word| !word.is_empty() && !word.contains('=')) {
        if word.parse::<LevelFilter>().is_err() {
            let detail = format!("{word:?}, expected a level or MODULE=LEVEL");
            errors.add("log_spec", detail);
        }
    }
}

/// Error messages, one per invalid setting.
#[derive(Default)]
struct SettingErrors(Vec<String>);

impl SettingErrors {
    fn add(&mut self, path: &str, detail: impl Display) {
        self.0.push(format!("{path}: {detail}"));
    }

    fn at_least<T: PartialOrd + Display>(&mut self, path: &str, value: T, min: T) {
        if value < min {
            self.add(path, format!("{value}, expected at least {min}"));
        }
    }

    fn positive(&mut self, values: &[(&str, u32)]) {
        for (path, value) in values {
            self.at_least(path, *value, 1);
        }
    }

    // also rejects NaN, which no range contains
    fn within(&mut self, path: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.add(path, format!("{value}, expected {min} to {max}"));
        }
    }
}

fn check_host(settings: &Settings, errors: &mut SettingErrors) {
    let ids =
        [("host_id", &settings.host_id), ("region", &settings.region), ("zone", &settings.zone)];
    for (path, id) in ids {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(allowed) {
            let detail = format!(
                "{id:?}, expected 1 to {MAX_ID_BYTES} characters of a-z, A-Z, 0-9, `.`, `_`, `-`"
            );
            errors.add(path, detail);
        }
    }
}

fn check_addresses(settings: &Settings, errors: &mut SettingErrors) {
    let addresses = [
        ("caller_address", &settings.caller_address),
        ("operator_address", &settings.operator_address),
        ("peer_address", &settings.peer_address),
    ];
    let mut bound: Vec<(&str, SocketAddr)> = Vec::new();
    for (path, text) in addresses {
        let Some(address) = parse_address(path, text, errors) else { continue };
        let taken = bound.iter().find(|(_, other)| *other == address && address.port() != 0);
        if let Some((other, _)) = taken {
            errors.add(
                path,
                format!("{text:?} is also the value of {other}, expected another address"),
            );
        }
        bound.push((path, address));
    }
    for (index, seed) in settings.seeds.iter().enumerate() {
        parse_address(&format!("seeds[{index}]"), seed, errors);
    }
}

fn parse_address(path: &str, text: &str, errors: &mut SettingErrors) -> Option<SocketAddr> {
    match text.parse() {
        Ok(address) => Some(address),
        Err(_) => {
            let detail =
                format!("{text:?}, expected an IP address and port, for example 10.0.0.7:8080");
            errors.add(path, detail);
            None
        }
    }
}

fn check_secrets(settings: &Settings, errors: &mut SettingErrors) {
    let secrets =
        [("peer_secret", &settings.peer_secret), ("operator_token", &settings.operator_token)];
    for (path, secret) in secrets {
        let length = secret.chars().count();
        if length < MIN_SECRET_CHARS {
            let detail =
                format!("{length} characters, expected at least {MIN_SECRET_CHARS} characters");
            errors.add(path, detail);
        }
        if secret.trim() != secret {
            errors.add(path, "starts or ends with whitespace, expected none");
        }
    }
    if settings.peer_secret == settings.operator_token {
        errors.add("operator_token", "the same as peer_secret, expected another secret");
    }
}

fn check_platform_and_ownership(settings: &Settings, errors: &mut SettingErrors) {
    let platform = &settings.platform;
    let urls = [
        ("platform.log_url", &platform.log_url),
        ("platform.host_list_url", &platform.host_list_url),
        ("platform.weight_store_url", &platform.weight_store_url),
    ];
    for (path, url) in urls {
        if url.strip_prefix("http://").is_none_or(str::is_empty) {
            errors.add(path, format!("{url:?}, expected a URL that starts with http://"));
        }
    }
    errors.positive(&[
        ("platform.poll_ms", platform.poll_ms),
        ("platform.request_ms", platform.request_ms),
        ("platform.reconnect_max_ms", platform.reconnect_max_ms),
        ("platform.host_list_ms", platform.host_list_ms),
    ]);
    errors.at_least("platform.max_record_bytes", platform.max_record_bytes, MIN_RECORD_BYTES);
    let ownership = settings.ownership.clone().unwrap_or_default();
    errors.positive(&[
        ("ownership.lease_ms", ownership.lease_ms),
        ("ownership.rebalance_ms", ownership.rebalance_ms),
    ]);
    // a read of the log renews the lease, so a lease must be longer than one poll and the
    // time until its reply arrives
    if platform.poll_ms > ownership.lease_ms / 2 {
        let detail = format!(
            "{}, expected at most half of ownership.lease_ms, which is {}",
            platform.poll_ms, ownership.lease_ms
        );
        errors.add("platform.poll_ms", detail);
    }
    let min_retention_ms = u64::from(ownership.lease_ms) * 3;
    if platform.retention_ms < min_retention_ms {
        let detail = format!(
            "{}, expected at least three times ownership.lease_ms, which is {min_retention_ms}",
            platform.retention_ms
        );
        errors.add("platform.retention_ms", detail);
    }
}

fn check_callers(settings: &Settings, errors: &mut SettingErrors) {
    let callers = settings.callers.clone().unwrap_or_default();
    errors.positive(&[
        ("callers.max_connections", callers.max_connections),
        ("callers.max_in_flight", callers.max_in_flight),
        ("callers.max_body_bytes", callers.max_body_bytes),
        ("callers.read_ms", callers.read_ms),
        ("callers.write_ms", callers.write_ms),
        ("callers.default_deadline_ms", callers.default_deadline_ms),
    ]);
    errors.at_least("callers.max_header_bytes", callers.max_header_bytes, 1024);
}

fn check_membership(settings: &Settings, errors: &mut SettingErrors) {
    let membership = settings.membership.clone().unwrap_or_default();
    errors.positive(&[
        ("membership.heartbeat_ms", membership.heartbeat_ms),
        ("membership.monitors", membership.monitors),
        ("membership.gossip_ms", membership.gossip_ms),
        ("membership.gossip_fanout", membership.gossip_fanout),
        ("membership.gossip_bytes_per_s", membership.gossip_bytes_per_s),
    ]);
    // one lost heartbeat must not make a host suspected
    if membership.suspect_ms < membership.heartbeat_ms.saturating_mul(2) {
        let detail = format!(
            "{}, expected at least twice membership.heartbeat_ms, which is {}",
            membership.suspect_ms, membership.heartbeat_ms
        );
        errors.add("membership.suspect_ms", detail);
    }
}

fn check_admission(settings: &Settings, errors: &mut SettingErrors) {
    let admission = settings.admission.clone().unwrap_or_default();
    errors.positive(&[
        ("admission.load_ttl_ms", admission.load_ttl_ms),
        ("admission.queue_max", admission.queue_max),
        ("admission.may_wait_queue_max", admission.may_wait_queue_max),
        ("admission.long_tokens", admission.long_tokens),
        ("admission.dispatch_ms", admission.dispatch_ms),
        ("admission.permit_idle_ms", admission.permit_idle_ms),
        ("admission.warm_chats_max", admission.warm_chats_max),
    ]);
    errors.within("admission.may_wait_share", admission.may_wait_share, 0.0, 1.0);
    errors.within("admission.short_reserve", admission.short_reserve, 0.0, 1.0);
}

fn check_health(settings: &Settings, errors: &mut SettingErrors) {
    let health = settings.health.clone().unwrap_or_default();
    errors.within("health.slow_ratio", health.slow_ratio, 1.1, 1000.0);
    errors.within("health.min_weight", health.min_weight, 0.001, 1.0);
    errors.within("health.max_degraded_share", health.max_degraded_share, 0.0, 1.0);
    errors.within("health.smoothing", health.smoothing, 0.001, 1.0);
}

fn check_dispatch(settings: &Settings, errors: &mut SettingErrors) {
    let dispatch = settings.dispatch.clone().unwrap_or_default();
    errors.positive(&[
        ("dispatch.connect_ms", dispatch.connect_ms),
        ("dispatch.stall_ms", dispatch.stall_ms),
    ]);
    errors.within("dispatch.retry_share", dispatch.retry_share, 0.0, 1.0);
    errors.within("dispatch.hedge_share", dispatch.hedge_share, 0.0, 1.0);
    errors.within("dispatch.hedge_ratio", dispatch.hedge_ratio, 1.0, 1000.0);
}

fn check_claims_and_orders(settings: &Settings, errors: &mut SettingErrors) {
    let claims = settings.claims.clone().unwrap_or_default();
    if !(1..=MAX_KEY_RANGES).contains(&claims.key_ranges) {
        let detail = format!("{}, expected 1 to {MAX_KEY_RANGES}", claims.key_ranges);
        errors.add("claims.key_ranges", detail);
    }
    errors.positive(&[("claims.batch_ms", claims.batch_ms)]);
    // an outcome is stored in one log record, where base64 and JSON escapes make it longer
    let limit = settings.platform.max_record_bytes / 2;
    if claims.max_outcome_bytes > limit {
        let detail = format!(
            "{}, expected at most half of platform.max_record_bytes, which is {limit}",
            claims.max_outcome_bytes
        );
        errors.add("claims.max_outcome_bytes", detail);
    }
    let orders = settings.orders.clone().unwrap_or_default();
    errors.positive(&[
        ("orders.weight_loads", orders.weight_loads),
        ("orders.order_ms", orders.order_ms),
    ]);
}
