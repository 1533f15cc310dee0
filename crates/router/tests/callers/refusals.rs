use {
    crate::support::{BOOKING_WORK, CHAT_WORK, TEAM, fleet, request, send_raw},
    expect_test::expect,
    mango_testkit::{FleetOptions, LocalFleet},
    std::fmt::Write,
    uuid::{NoContext, Timestamp, Uuid},
};

const CHAT_PATH: &str = "/v1/chat/completions";
const GOOD_BODY: &str = r#"{"messages":[{"role":"user","content":"hello"}]}"#;

/// Guards against refusals without a verdict or a reason, or that do not name the field at
/// fault.
#[test]
fn malformed_requests_are_refused_with_the_field_named() {
    let fleet = fleet(|_| {});
    let address = fleet.routers[0].caller_address();
    let team = format!("Mango-Team: {TEAM}");
    let work = format!("Mango-Work: {CHAT_WORK}");
    let booking = format!("Mango-Work: {BOOKING_WORK}");
    let later = Timestamp::from_unix(NoContext, 4_000_000_000, 0);
    let future_key = format!("Idempotency-Key: {}", Uuid::new_v7(later));
    let good = [team.as_str(), work.as_str()];
    let visit = "/services/bookings/visits";
    let cases: Vec<(&str, &str, &str, Vec<&str>, &str)> = vec![
        ("no team", "POST", CHAT_PATH, vec![&work], GOOD_BODY),
        ("no work", "POST", CHAT_PATH, vec![&team], GOOD_BODY),
        ("two teams", "POST", CHAT_PATH, vec![&team, &team, &work], GOOD_BODY),
        ("unknown team", "POST", CHAT_PATH, vec!["Mango-Team: x", &work], GOOD_BODY),
        ("unknown work", "POST", CHAT_PATH, vec![&team, "Mango-Work: x"], GOOD_BODY),
        ("no route", "POST", CHAT_PATH, vec![&team, "Mango-Work: unrouted"], GOOD_BODY),
        (
            "bad deadline",
            "POST",
            CHAT_PATH,
            vec![&team, &work, "Mango-Deadline-Ms: soon"],
            GOOD_BODY,
        ),
        ("not JSON", "POST", CHAT_PATH, good.to_vec(), "{"),
        ("no messages", "POST", CHAT_PATH, good.to_vec(), "{}"),
        (
            "bad stream",
            "POST",
            CHAT_PATH,
            good.to_vec(),
            r#"{"messages":[{"content":"a"}],"stream":1}"#,
        ),
        ("unknown path", "POST", "/v2", good.to_vec(), GOOD_BODY),
        ("wrong method", "GET", CHAT_PATH, good.to_vec(), ""),
        ("no key", "POST", visit, vec![&team, &booking], "{}"),
        ("bad key", "POST", visit, vec![&team, &booking, "Idempotency-Key: 7"], "{}"),
        ("future key", "POST", visit, vec![&team, &booking, &future_key], "{}"),
        (
            "other service",
            "POST",
            "/services/x/y",
            vec![&team, &booking, "Idempotency-Key: 7"],
            "{}",
        ),
    ];
    let mut seen = String::new();
    for (name, method, path, headers, body) in cases {
        let (status, problem) = send_raw(address, &request(method, path, &headers, body));
        let text = |field: &str| problem[field].as_str().unwrap_or("-").to_owned();
        writeln!(seen, "{name}: {status} {} {} {}", text("verdict"), text("reason"), text("field"))
            .unwrap();
    }
    expect![[r#"
        no team: 400 not_run bad_header mango-team
        no work: 400 not_run bad_header mango-work
        two teams: 400 not_run bad_header mango-team
        unknown team: 403 not_run unknown_team mango-team
        unknown work: 400 not_run unknown_work mango-work
        no route: 403 not_run no_route -
        bad deadline: 400 not_run bad_header mango-deadline-ms
        not JSON: 400 not_run bad_body body
        no messages: 400 not_run bad_body messages
        bad stream: 400 not_run bad_body stream
        unknown path: 404 not_run unknown_path -
        wrong method: 405 not_run method_not_allowed -
        no key: 400 not_run bad_header idempotency-key
        bad key: 400 not_run bad_header idempotency-key
        future key: 400 not_run bad_header idempotency-key
        other service: 403 not_run no_route -
    "#]]
    .assert_eq(&seen);
    let executions = fleet.engines.iter().map(|e| e.executions().len()).sum::<usize>();
    assert_eq!(executions + fleet.services[0].executions().len(), 0);
}

/// Guards against a router that accepts requests before it has a configuration.
#[test]
fn router_without_configuration_refuses() {
    let fleet = LocalFleet::spawn(FleetOptions { routers: 1, ..Default::default() }).unwrap();
    let address = fleet.routers[0].caller_address();
    let (status, problem) = send_raw(address, &request("POST", CHAT_PATH, &[], GOOD_BODY));
    assert_eq!((status, problem["reason"].as_str()), (503, Some("not_ready")));
    let operators = fleet.routers[0].operator_address();
    let (status, _) = send_raw(operators, &request("GET", "/readyz", &[], ""));
    assert_eq!(status, 503);
}
