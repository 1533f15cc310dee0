//! Compares the route index and the explanation with a linear scan of all routes.

use {
    super::decisions::{change, object},
    crate::config::Config,
    mango_config::read_objects,
    std::path::Path,
};

fn assert_index_matches_scan(
    config: &Config,
    teams: &[&str],
    works: &[&str],
    services: &[Option<&str>],
) -> usize {
    let mut admitted = 0;
    for team in teams.iter().map(|id| config.team(id).expect("team")) {
        for work in works.iter().map(|id| config.work(id).expect("work")) {
            for service in services {
                let mut scanned: Vec<String> = Vec::new();
                for route in config.routes().filter(|route| route.admits(team, work, *service)) {
                    if !scanned.iter().any(|id| id == route.pool_id()) {
                        scanned.push(route.pool_id().to_owned());
                    }
                }
                let found = config.pools_for(team, work, *service);
                let found: Vec<_> = found.iter().map(|pool| pool.id.clone()).collect();
                assert_eq!(found, scanned, "{} {} {service:?}", team.id, work.id);
                let explanation = config.explain(&team.id, &work.id, *service);
                assert_eq!(explanation.pools, scanned);
                let admits = explanation.routes.iter().filter(|route| route.admits);
                assert!(admits.clone().all(|route| scanned.contains(&route.pool)));
                admitted += admits.count();
            }
        }
    }
    admitted
}

/// Guards against a route missing from the index, which would refuse work that
/// operators have allowed.
#[test]
fn index_finds_what_a_scan_finds() {
    let route = |id: &str, work: &str, team: &str, pool: &str| {
        let text = format!(
            r#"{{"route":{{"id":"{id}","work":"{work}","team":"{team}","pool":"{pool}"}}}}"#
        );
        object(&text)
    };
    let mut put = vec![
        object(r#"{"team":{"id":"a","labels":{"size":"large"}}}"#),
        object(r#"{"team":{"id":"b"}}"#),
        object(r#"{"work":{"id":"x","idempotent":true}}"#),
        object(r#"{"work":{"id":"y","idempotent":false,"labels":{"long":"yes"}}}"#),
        route("1", "", "team.id=a", "p"),
        route("2", "work.id in (x,y,x)", "", "q"),
        route("3", "long", "team.id in (a,b,a)", "r"),
        route("4", "work.id!=x", "size=large", "p"),
        route("5", "!long", "team.id notin (a)", "p"),
        route("6", "work.id=x and work.id=y", "", "p"),
    ];
    for pool in ["p", "q", "r"] {
        put.push(object(&format!(r#"{{"pool":{{"id":"{pool}","selector":""}}}}"#)));
    }
    let config = Config::default().decide(&change("c", 0, put), 1).expect("valid");
    assert_eq!(
        assert_index_matches_scan(&config, &["a", "b"], &["x", "y"], &[None, Some("s")]),
        10
    );
}

/// The example deployments must route the work that they describe and no other.
#[test]
fn examples_route_as_described() {
    let load = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
        let put = read_objects(&path).expect("example").objects;
        Config::default().decide(&change("c", 0, put), 1).expect("valid")
    };
    let pools = |config: &Config, team: &str, work: &str, service: Option<&str>| -> Vec<String> {
        config.explain(team, work, service).pools
    };
    let wages = load("wage-survey");
    let portal = Some("clen-portal");
    assert_eq!(pools(&wages, "clenovia-nitra", "payroll-extract", portal), ["clen-portal"]);
    assert_eq!(pools(&wages, "statistika", "payroll-extract", portal), [""; 0]);
    assert_eq!(pools(&wages, "statistika", "sector-report", None), ["model-farma"]);
    let recalls = load("gas-recalls");
    assert_eq!(pools(&recalls, "tartu", "visit-booking", Some("broneering")), ["broneering"]);
    assert_eq!(pools(&recalls, "tootja", "visit-booking", Some("broneering")), [""; 0]);
    assert_eq!(pools(&recalls, "tartu", "doorstep-question", None), ["keelemudel"]);
    let teams = ["tallinn", "dispetser", "tootja", "jarelevalve"];
    let works = ["doorstep-question", "visit-report", "appointment-lookup", "visit-booking"];
    assert_index_matches_scan(&recalls, &teams, &works, &[None, Some("broneering"), Some("other")]);
}
