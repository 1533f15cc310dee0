//! Threads of a router that must end when it stops.

use {
    mango_testkit::{FleetOptions, LocalFleet},
    std::{
        fs, thread,
        time::{Duration, Instant},
    },
};

/// Names of the threads of this process that write or report claims on idempotency keys or
/// that accept HTTP connections. One accept thread belongs to the platform stand-in.
fn router_threads() -> Vec<String> {
    let tasks = fs::read_dir("/proc/self/task").expect("threads of this process");
    let name = |task: fs::DirEntry| fs::read_to_string(task.path().join("comm")).ok();
    let names = tasks.flatten().filter_map(name).map(|name| name.trim().to_owned());
    names.filter(|name| name.starts_with("claim") || name == "http-accept").collect()
}

/// Guards against threads of a stopped router that run until the process ends and keep
/// parts of the router in memory.
#[test]
fn stopped_router_ends_its_router_threads() {
    let fleet = LocalFleet::spawn(FleetOptions { routers: 1, ..FleetOptions::default() });
    let fleet = fleet.expect("fleet");
    assert!(router_threads().len() > 3, "{:?}", router_threads());
    for router in &fleet.routers {
        router.stop();
    }
    let deadline = Instant::now() + Duration::from_secs(3);
    while router_threads() != ["http-accept"] {
        assert!(Instant::now() < deadline, "still running: {:?}", router_threads());
        thread::sleep(Duration::from_millis(20));
    }
}
