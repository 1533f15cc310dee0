//! Tests of the operators' interface, with mangoctl and with plain HTTP requests.

use {
    super::{OperatorHooks, OperatorServer, query::Query, token_check::TokenCheck},
    crate::{
        config::{
            ConfigStore,
            tests::{
                memory_log::MemoryLog,
                store::{StorePeers, store},
            },
        },
        metrics::Metrics,
    },
    expect_test::expect_file,
    mango_config::MemberVersion,
    mango_wire::settings::Settings,
    proptest::prelude::*,
    std::{
        fs,
        io::{Read, Write},
        net::TcpStream,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

const TOKEN: &str = "token-of-a-test-0123";

/// Operators' server of a router whose log is in memory.
struct Router {
    _server: OperatorServer,
    url: String,
    store: Arc<ConfigStore<MemoryLog>>,
    draining: Arc<AtomicBool>,
    folder: TempDir,
}

impl Router {
    fn spawn() -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.json");
        let text = fs::read_to_string(path).expect("settings");
        let mut settings: Settings = serde_json::from_str(&text).expect("settings");
        settings.operator_address = "127.0.0.1:0".to_owned();
        settings.operator_token = TOKEN.to_owned();
        let store = store(&MemoryLog::default(), StorePeers::default());
        let draining = Arc::new(AtomicBool::new(false));
        let (members, drain, is_draining) = (store.clone(), draining.clone(), draining.clone());
        let hooks = OperatorHooks {
            config: store.clone(),
            metrics: Metrics::new(),
            state: Box::new(|| serde_json::json!({ "host_id": "entry-01", "engines": [1, 2] })),
            member_versions: Box::new(move || {
                let version = Some(members.current().version());
                let behind = MemberVersion { host_id: "entry-02".to_owned(), version: Some(1) };
                vec![MemberVersion { host_id: "entry-01".to_owned(), version }, behind]
            }),
            placement: Box::new(|_, _| Vec::new()),
            drain: Box::new(move || drain.store(true, Ordering::Release)),
            is_draining: Box::new(move || is_draining.load(Ordering::Acquire)),
        };
        let server = OperatorServer::spawn(&settings, hooks).expect("serves");
        let folder = tempfile::tempdir().expect("folder");
        fs::write(folder.path().join("token"), TOKEN).expect("token");
        let url = format!("http://{}", server.address());
        Self { _server: server, url, store, draining, folder }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("write");
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> (u8, String) {
        let token: PathBuf = self.folder.path().join("token");
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let token = token.display().to_string();
        let connection = ["--router", &self.url, "--token-file", &token];
        let all = ["mangoctl"].iter().chain(args).chain(&connection);
        let code = mangoctl::run(all, &mut out, &mut err);
        (code, String::from_utf8([out, err].concat()).expect("UTF-8"))
    }

    /// Command line, output and exit code.
    fn transcript(&self, line: &str, args: &[&str]) -> String {
        let (code, text) = self.run(args);
        format!("$ mangoctl {line}\n{text}[{code}]\n\n")
    }

    fn request(&self, method: &str, path: &str, token: &str, body: &str) -> (u16, String) {
        let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header("Authorization", format!("Bearer {token}"))
            .body(body.to_owned())
            .expect("request");
        let mut response = agent.run(request).expect("answer");
        let text = response.body_mut().read_to_string().expect("text");
        (response.status().as_u16(), text)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.store.stop();
    }
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name).display().to_string()
}

/// Operators and scripts rely on the output and exit codes of each command.
#[test]
fn commands_against_a_router() {
    let router = Router::spawn();
    let file = example("gas-recalls");
    let apply = ["apply", "-f", &file, "--author", "ann"];
    let mut transcript = router.transcript("apply -f gas-recalls --author ann", &apply);
    for line in [
        "get route",
        "get work visit-booking",
        "get team narva --output json",
        "get team riga",
        "label endpoint keel-09 state=repair nothing- --author ann",
        "label endpoint keel-09 state=repair",
        "delete route maker-notices --author ann",
        "delete pool keelemudel",
        "explain --team narva --work visit-booking --service broneering",
        "explain --team tootja --work visit-report",
        "explain --team riga --work visit-report",
        "history",
        "state",
        "drain",
    ] {
        let args: Vec<_> = line.split(' ').collect();
        transcript.push_str(&router.transcript(line, &args));
    }
    // the first run restores the edited objects, the second finds no difference
    for _ in 0..2 {
        let again = router.transcript("apply -f gas-recalls", &["apply", "-f", &file]);
        transcript.push_str(&again);
    }
    expect_file!["session.txt"].assert_eq(&transcript);
    assert!(router.draining.load(Ordering::Acquire));
}

/// A change based on an old listing must be refused, and the refusal must name the author
/// and the version of the newer change.
#[test]
fn edited_listing_is_applied_against_its_version() {
    let router = Router::spawn();
    let team = router.write("team.json", r#"{"team":{"id":"t"}}"#);
    assert_eq!(router.run(&["apply", "-f", &team, "--author", "ann"]).0, 0);
    let (_, listing) = router.run(&["get", "team", "t", "--output", "json"]);
    assert_eq!(router.run(&["label", "team", "t", "a=1", "--author", "bob"]).0, 0);
    let edited = listing.replace("\"weight\": 1.0", "\"weight\": 2.0");
    assert_ne!(edited, listing);
    let file = router.write("edited.json", &edited);
    let (code, text) = router.run(&["apply", "-f", &file]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("rejected: team/t: changed at version 4"), "{text}");
    assert!(text.contains("of bob"), "{text}");
}

/// `--wait` must not report success while a member uses an older version.
#[test]
fn wait_names_members_that_are_behind() {
    let router = Router::spawn();
    let team = router.write("team.json", r#"{"team":{"id":"t"}}"#);
    let (code, text) = router.run(&["apply", "-f", &team, "--wait", "--wait-ms", "200"]);
    assert_eq!((code, text.as_str()), (0, "accepted, version 1, 1 objects changed\n"));
    let (code, text) = router.run(&["label", "team", "t", "a=1", "--wait", "--wait-ms", "200"]);
    assert_eq!(code, 3);
    assert!(text.ends_with("not confirmed by entry-02 (version 1)\n"), "{text}");
}

/// All paths except the health checks require the token.
#[test]
fn token_is_required() {
    let router = Router::spawn();
    for path in ["/metrics", "/state", "/config", "/history", "/explain", "/other"] {
        for token in ["", "token-of-a-test-0124", "token-of-a-test-01234"] {
            let (status, body) = router.request("GET", path, token, "");
            assert_eq!(status, 401, "{path} {token:?}");
            assert!(!body.contains(TOKEN));
        }
    }
    assert_eq!(router.request("POST", "/drain", "wrong", "").0, 401);
    assert!(!router.draining.load(Ordering::Acquire));
    assert_eq!(router.request("GET", "/healthz", "", "").0, 200);
    assert_eq!(router.run(&["state"]).0, 0);
    fs::write(router.folder.path().join("token"), "wrong-token-of-a-test").expect("token");
    assert_eq!(router.run(&["state"]).0, 1);
}

/// A router that has no configuration or is draining must receive no traffic.
#[test]
fn ready_only_with_configuration_and_not_draining() {
    let router = Router::spawn();
    assert_eq!(router.request("GET", "/readyz", "", "").0, 503);
    let team = router.write("team.json", r#"{"team":{"id":"t"}}"#);
    assert_eq!(router.run(&["apply", "-f", &team]).0, 0);
    assert_eq!(router.request("GET", "/readyz", "", "").0, 200);
    router.draining.store(true, Ordering::Release);
    assert_eq!(router.request("GET", "/readyz", "", "").0, 503);
    assert_eq!(router.request("GET", "/healthz", "", "").0, 200);
}

/// An invalid request must get a JSON error with the right status and change nothing.
#[test]
fn wrong_requests_are_refused() {
    let router = Router::spawn();
    let change = r#"{"change_id":"c","author":"a","based_on":0,"made_at_ms":0,"put":[{"team":{"id":"t","x":1}}]}"#;
    let table = [
        ("GET", "/other", "", 404, "unknown_path"),
        ("GET", "/drain", "", 405, "method_not_allowed"),
        ("POST", "/state", "", 405, "method_not_allowed"),
        ("GET", "/config?kind=teams", "", 400, "bad_request"),
        ("GET", "/config?id=t", "", 400, "bad_request"),
        ("GET", "/config?kind=team&id=t", "", 404, "unknown_object"),
        ("GET", "/explain?team=t", "", 400, "bad_request"),
        ("GET", "/history?limit=x", "", 400, "bad_request"),
        ("POST", "/config", "{", 400, "bad_request"),
        ("POST", "/config", change, 400, "bad_request"),
    ];
    for (method, path, body, status, reason) in table {
        let (actual, text) = router.request(method, path, TOKEN, body);
        assert_eq!(actual, status, "{method} {path}: {text}");
        let error: mango_config::ApiError = serde_json::from_str(&text).expect("JSON error");
        assert_eq!(error.reason, reason, "{method} {path}: {text}");
    }
    let teams: Vec<_> = (0..20_000)
        .map(|n| serde_json::json!({ "team": { "id": format!("a-long-name-of-a-team-{n}") } }))
        .collect();
    let large = serde_json::json!({
        "change_id": "c", "author": "a", "based_on": 0, "made_at_ms": 0, "put": teams,
    });
    assert_eq!(router.request("POST", "/config", TOKEN, &large.to_string()).0, 413);
    assert_eq!(router.store.current().version(), 0);
}

/// A client may send the body some time after the headers.
#[test]
fn late_body_is_read() {
    let router = Router::spawn();
    let address = router.url.strip_prefix("http://").expect("URL");
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(Duration::from_secs(4))).expect("timeout");
    let body =
        r#"{"change_id":"c","author":"a","based_on":0,"made_at_ms":0,"put":[{"team":{"id":"t"}}]}"#;
    let head = format!(
        "POST /config HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    for part in [&head, &body[..20], &body[20..]] {
        stream.write_all(part.as_bytes()).expect("writes");
        thread::sleep(Duration::from_millis(20));
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// A header of another scheme or form must not pass as the token.
#[test]
fn token_forms() {
    let check = TokenCheck::new(TOKEN);
    assert!(check.accepts(Some(format!("Bearer {TOKEN}").as_bytes())));
    assert!(check.accepts(Some(format!("bearer {TOKEN}").as_bytes())));
    for header in ["", "Bearer", "Bearer ", TOKEN, "Basic token-of-a-test-0123"] {
        assert!(!check.accepts(Some(header.as_bytes())), "{header:?}");
    }
    assert!(!check.accepts(None));
}

proptest! {
    /// A malformed query must not stop the server.
    #[test]
    fn any_query_parses_or_fails(text in "[a-c%=&+0-9]{0,30}|.{0,30}") {
        let _ = Query::parse(&text, &["a", "b"]);
    }
}
