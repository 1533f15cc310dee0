//! Tests the cost of a change and of a placement with a configuration of the size that
//! the router is designed for.

use {
    super::decisions::{change, object},
    crate::config::{
        Config,
        peer_snapshot::MAX_SNAPSHOT_BYTES,
        snapshot_parts::{canonical_json, whole_snapshot},
    },
    std::time::Instant,
};

/// Configuration of the design size: 24,000 teams, 950
/// endpoints, 22 pools and kinds of work, and a route of its own for every tenth team.
fn design_size() -> Config {
    let mut put = Vec::new();
    for n in 0..24_000 {
        let (size, sector) = (n % 3, n % 22);
        put.push(object(&format!(
            r#"{{"team":{{"id":"team-{n}","labels":{{"size":"{size}","sector":"{sector}"}}}}}}"#
        )));
        if n % 10 == 0 {
            put.push(object(&format!(
                r#"{{"route":{{"id":"own-{n}","work":"","team":"team.id=team-{n}",
                "pool":"pool-{sector}"}}}}"#
            )));
        }
    }
    for n in 0..950 {
        let model = n % 22;
        put.push(object(&format!(
            r#"{{"endpoint":{{"id":"engine-{n}","kind":"engine","address":"10.0.{}.{}:1",
            "region":"r","zone":"z","labels":{{"model":"{model}"}}}}}}"#,
            n / 200,
            n % 200
        )));
    }
    for n in 0..22 {
        put.push(object(&format!(r#"{{"work":{{"id":"work-{n}","idempotent":true}}}}"#)));
        put.push(object(&format!(r#"{{"pool":{{"id":"pool-{n}","selector":"model={n}"}}}}"#)));
        put.push(object(&format!(
            r#"{{"route":{{"id":"sector-{n}","work":"work.id=work-{n}","team":"sector={n}",
            "pool":"pool-{n}"}}}}"#
        )));
    }
    // ids whose keys collide are rejected, so those teams are left out
    loop {
        match Config::default().decide(&change("all", 0, put.clone()), 1) {
            Ok(config) => return config,
            Err(rejection) => {
                let key = rejection.object.clone().expect("an object is named");
                assert!(rejection.detail.contains("collides"), "{rejection}");
                put.retain(|object| {
                    let name = mango_config::object_name(object);
                    name.id != key.id && name.id != key.id.replace("team-", "own-")
                });
            }
        }
    }
}

/// Guards against a full recompile for each of 3,700 changes a day and against a
/// scan of all routes for each request, which would take CPU time from the
/// request path.
#[test]
fn one_change_and_one_placement_are_cheap() {
    let config = design_size();
    let started = Instant::now();
    let snapshot = whole_snapshot(&config, 1);
    let full = Config::from_objects(1, snapshot.objects, snapshot.deleted, 0).expect("compiles");
    let full_compile = started.elapsed();
    assert_eq!(full.len(), config.len());

    const CHANGES: u32 = 20;
    let edits: Vec<_> = (0..CHANGES)
        .map(|n| change("c", 1, vec![object(&format!(r#"{{"team":{{"id":"team-{n}"}}}}"#))]))
        .collect();
    let started = Instant::now();
    for edit in &edits {
        config.decide(edit, 2).expect("accepted");
    }
    let one_change = started.elapsed() / CHANGES;

    const PLACEMENTS: u32 = 10_000;
    let started = Instant::now();
    let mut found = 0;
    for n in 0..PLACEMENTS {
        let team = config.team(&format!("team-{}", n % 1000)).expect("team");
        let work = config.work(&format!("work-{}", n % 22)).expect("work");
        found += config.pools_for(team, work, None).len();
    }
    let one_placement = started.elapsed() / PLACEMENTS;
    println!("full {full_compile:?}, change {one_change:?}, placement {one_placement:?}");
    let bytes = canonical_json(&whole_snapshot(&config, 1)).expect("serialises").len();
    println!("snapshot of {bytes} bytes");
    assert!(bytes < MAX_SNAPSHOT_BYTES as usize / 4, "snapshot of {bytes} bytes");
    assert!(found > 0);
    assert!(one_change * 10 < full_compile, "change {one_change:?}, full {full_compile:?}");
    assert!(one_placement * 100 < full_compile, "{one_placement:?}, full {full_compile:?}");
}
