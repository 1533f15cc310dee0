//! Tests of the settings file: invalid settings are rejected, and the error names the field.

use {mango_gateway::load_settings, std::io::Write};

const VALID: &str = r#"{
  "host": "front-a-1", "zone": "a", "callers_address": "127.0.0.1:1",
  "ready_address": "127.0.0.1:2", "side_address": "127.0.0.1:3",
  "gossip_address": "127.0.0.1:4", "store_address": "127.0.0.1:5",
  "link_mbps": 700.0, "endpoint_heartbeat_ms": 1200, "field_of_a_later_version": {"x": 1},
  "bounds": {
    "refuses_unconfirmed_keys": true, "key_revocation_ms": 5000, "config_apply_ms": 2000,
    "endpoint_drain_ms": 2000, "stop_grace_s": 8, "retry_budget_ratio": 0.2,
    "retry_budget_window_s": 10, "retry_budget_allowance": 116
  }
}"#;

fn load(text: &str) -> Result<(), String> {
    let mut file = tempfile::NamedTempFile::new().expect("cannot create the settings file");
    file.write_all(text.as_bytes()).expect("cannot write the settings file");
    load_settings(file.path()).map(drop).map_err(|e| format!("{e:#}"))
}

/// Guards against a process that fails to start after the platform adds a field.
#[test]
fn unknown_fields_are_ignored() {
    assert_eq!(load(VALID), Ok(()));
}

/// Guards against a process that starts with missing or invalid settings, such as a negative
/// bound, and against errors that do not name the field.
#[test]
fn errors_name_missing_and_invalid_fields() {
    for (from, to, field) in [
        ("\"zone\": \"a\",", "", "zone"),
        ("\"stop_grace_s\": 8,", "", "stop_grace_s"),
        ("\"key_revocation_ms\": 5000", "\"key_revocation_ms\": -1", "bounds.key_revocation_ms"),
        ("\"127.0.0.1:5\"", "\"nowhere\"", "store_address"),
        ("\"retry_budget_ratio\": 0.2", "\"retry_budget_ratio\": \"x\"", "retry_budget_ratio"),
    ] {
        let error = load(&VALID.replace(from, to)).expect_err(field);
        assert!(error.contains(field), "{error}");
    }
    assert!(load("{").is_err());
}
