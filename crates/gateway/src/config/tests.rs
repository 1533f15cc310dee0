use {
    super::{CallerLimits, ConfigState, RequestKind, Route, RoutingConfig, ServiceShare, Team},
    crate::clock::BootInstant,
    std::{rc::Rc, time::Duration},
};

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host_name: "h".into(),
        path_prefix: prefix.into(),
        shares: vec![ServiceShare { service: "s".into(), weight: 1 }],
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_attempts: 2,
        priority: 0,
        is_anonymous_allowed: false,
        has_prompt_prefix: false,
        is_resumable: false,
    }
}

fn config(version: u64, prefixes: &[&str]) -> Rc<RoutingConfig> {
    let routes = prefixes.iter().map(|prefix| route(prefix)).collect();
    let team = Team { name: "t".into(), api_keys: vec!["k".into()], priority: None };
    let limits = CallerLimits::default();
    Rc::new(RoutingConfig::new(version, limits, routes, Vec::new(), Some(vec![team])))
}

/// Guards against matching a route with a shorter prefix than another matching route.
#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let config = config(1, &["/a/", "/a/b/", "/"]);
    let find = |path| config.find_route("h", path).map(|route| route.path_prefix.to_string());
    assert_eq!(find("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("/x").as_deref(), Some("/"));
    assert!(config.find_route("other", "/a/").is_none());
}

/// Guards against reverting to an older configuration while the process runs.
#[test]
fn older_configurations_are_not_applied() {
    let state = ConfigState::new(Duration::from_secs(3));
    assert!(state.replace_if_newer(config(5, &["/a/"])));
    assert!(!state.replace_if_newer(config(4, &["/b/"])));
    assert!(!state.replace_if_newer(config(5, &["/b/"])));
    assert_eq!(state.version(), 5);
    assert!(state.replace_if_newer(config(9, &["/b/"])));
}

/// Guards against trusting API keys too long after the store became unreachable, also if
/// confirmations arrive out of order.
#[test]
fn keys_are_trusted_only_while_confirmed() {
    let state = ConfigState::new(Duration::from_secs(3));
    let start = BootInstant::from_millis(10_000);
    assert!(!state.is_confirmed(start));
    state.confirm(start + Duration::from_secs(1));
    state.confirm(start);
    assert!(state.is_confirmed(start + Duration::from_secs(4)));
    assert!(!state.is_confirmed(start + Duration::from_millis(4_001)));
}

/// Guards against parts that are switched on by targets that do not ask for them, or that are switched
/// off when an operator moves a route to another service.
#[test]
fn an_interactive_route_has_the_shortest_target_of_all() {
    let has_interactive_route = |routes: &[(u8, u64, &str)]| {
        let streaming = |&(priority, target_latency_ms, service): &(u8, u64, &str)| Route {
            kind: RequestKind::Streaming,
            shares: vec![ServiceShare { service: service.into(), weight: 1 }],
            priority,
            target_latency_ms,
            ..route("/a/")
        };
        // the plain route is more urgent and has a shorter target, but does not count
        let routes = routes.iter().map(streaming).chain([route("/b/")]).collect();
        let limits = CallerLimits::default();
        RoutingConfig::new(1, limits, routes, Vec::new(), None).has_interactive_route()
    };
    assert!(has_interactive_route(&[(2, 1_500, "s"), (0, 400, "s"), (1, 500, "s")]));
    assert!(has_interactive_route(&[(1, 800, "s"), (0, 400, "moved"), (2, 500, "s")]));
    assert!(!has_interactive_route(&[(0, 800, "s"), (1, 800, "s"), (2, 1_200, "s")]));
    assert!(!has_interactive_route(&[(0, 1_200, "s"), (1, 1_000, "s")]));
    assert!(!has_interactive_route(&[(0, 400, "s"), (0, 500, "s")]));
    assert!(!has_interactive_route(&[(0, 400, "s")]));
    assert!(!has_interactive_route(&[]));
}

/// Guards against a stream that is taken up at another service of its route, which knows nothing of it,
/// and against shares that do not follow the weights.
#[test]
fn a_key_always_gets_the_same_service_of_a_split_route() {
    let share = |service: &str, weight| ServiceShare { service: service.into(), weight };
    let split =
        Route { shares: vec![share("a", 1), share("none", 0), share("b", 3)], ..route("/a/") };
    let choose = |key: u32| split.choose_service(&format!("{key:x}")).expect("a service").clone();
    let chosen: Vec<Rc<str>> = (0..4_000).map(choose).collect();
    assert_eq!(chosen, (0..4_000).map(choose).collect::<Vec<_>>());
    let count = |service: &str| chosen.iter().filter(|chosen| ***chosen == *service).count();
    assert_eq!(count("none"), 0);
    assert!((900..1_100).contains(&count("a")), "{}", count("a"));
    let unused = Route { shares: vec![share("a", 0)], ..route("/a/") };
    assert!(unused.choose_service("1").is_none());
}
