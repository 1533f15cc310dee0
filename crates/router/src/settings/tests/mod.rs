//! Tests of loading and checking the settings file.

use {
    super::load::{load_settings, parse_settings},
    expect_test::{Expect, expect},
    serde_json::{Value, json},
    std::{fmt::Write, fs, path::Path},
};

fn example() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.json");
    let text = fs::read_to_string(path).expect("example is readable");
    serde_json::from_str(&text).expect("example is JSON")
}

type Edit = fn(&mut Value);

/// Applies each edit to the example and compares the errors with the expected text.
fn check(edits: &[Edit], expected: Expect) {
    let mut errors = String::new();
    for edit in edits {
        let mut settings = example();
        edit(&mut settings);
        let error = parse_settings(&settings.to_string()).expect_err("the settings are invalid");
        writeln!(errors, "{error:#}").expect("write to string");
    }
    expected.assert_eq(&errors);
}

/// The example settings file must be valid.
#[test]
fn example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.json");
    let settings = load_settings(&path).expect("valid");
    assert_eq!(settings.host_id, "entry-01");
}

/// A misspelt or mistyped setting must be an error and not silently get its default.
#[test]
fn unknown_and_mistyped_fields_are_refused() {
    let edits: [Edit; 5] = [
        |s| s["platform"]["pol_ms"] = json!(1),
        |s| s["platform"]["poll_ms"] = json!("fast"),
        |s| s["admission"] = json!({ "policy": "best" }),
        |s| drop(s.as_object_mut().map(|s| s.remove("zone"))),
        |s| s["peer_secret"] = json!(271828),
    ];
    check(
        &edits,
        expect![[r#"
        platform.pol_ms: unknown field `pol_ms`, expected one of `host_list_ms`, `host_list_url`, `log_url`, `max_record_bytes`, `poll_ms`, `reconnect_max_ms`, `request_ms`, `retention_ms`, `weight_store_url` at line 1 column 379
        platform.poll_ms: invalid type: string "fast", expected u32 at line 1 column 387
        admission.policy: unknown variant `best`, expected one of `owner`, `random`, `least_reported`, `two_choices`, `rendezvous` at line 1 column 29
        .: missing field `zone` at line 1 column 503
        peer_secret: expected a string
    "#]],
    );
}

/// Contradictory or invalid values must be refused at the start, because some of them
/// would cause failures only under load.
#[test]
fn contradictions_are_refused() {
    let edits: [Edit; 13] = [
        |s| s["platform"]["poll_ms"] = json!(600),
        |s| s["peer_secret"] = json!("short"),
        |s| s["operator_token"] = s["peer_secret"].clone(),
        |s| s["caller_address"] = json!("localhost:80"),
        |s| s["peer_address"] = s["caller_address"].clone(),
        |s| s["seeds"] = json!(["10.0.0.1"]),
        |s| s["platform"]["log_url"] = json!("ftp://x"),
        |s| s["platform"]["retention_ms"] = json!(100),
        |s| s["membership"] = json!({ "suspect_ms": 300 }),
        |s| s["claims"] = json!({ "key_ranges": 0 }),
        |s| s["log_spec"] = json!("info,mangobridge=loud"),
        |s| s["log_spec"] = json!("loud"),
        |s| {
            s["host_id"] = json!("entry 1");
            s["health"] = json!({ "min_weight": 0.0, "smoothing": 2.0 });
        },
    ];
    check(
        &edits,
        expect![[r#"
        platform.poll_ms: 600, expected at most half of ownership.lease_ms, which is 1000
        peer_secret: 5 characters, expected at least 16 characters
        operator_token: the same as peer_secret, expected another secret
        caller_address: "localhost:80", expected an IP address and port, for example 10.0.0.7:8080
        peer_address: "10.20.1.5:8080" is also the value of caller_address, expected another address
        seeds[0]: "10.0.0.1", expected an IP address and port, for example 10.0.0.7:8080
        platform.log_url: "ftp://x", expected a URL that starts with http://
        platform.retention_ms: 100, expected at least three times ownership.lease_ms, which is 3000
        membership.suspect_ms: 300, expected at least twice membership.heartbeat_ms, which is 250
        claims.key_ranges: 0, expected 1 to 1024
        log_spec: Failed to parse log specification: Invalid level filter, expected for example "info"
        log_spec: "loud", expected a level or MODULE=LEVEL
        host_id: "entry 1", expected 1 to 128 characters of a-z, A-Z, 0-9, `.`, `_`, `-`
        health.min_weight: 0, expected 0.001 to 1
        health.smoothing: 2, expected 0.001 to 1
    "#]],
    );
}

/// Errors must name the file and must not contain secrets.
#[test]
fn errors_name_the_file_and_hide_secrets() {
    let mut settings = example();
    settings["peer_secret"] = json!("hidden");
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    fs::write(file.path(), settings.to_string()).expect("write");
    let error = format!("{:#}", load_settings(file.path()).expect_err("too short"));
    assert!(error.starts_with(&file.path().display().to_string()), "{error}");
    assert!(!error.contains("hidden"), "{error}");
}
