//! What a stopped router leaves behind in its process.

use {
    mango_testkit::{FleetOptions, LocalFleet},
    std::{
        fs, thread,
        time::{Duration, Instant},
    },
};

/// Names of this process's threads that begin with `claim`.
fn claim_threads() -> Vec<String> {
    let tasks = fs::read_dir("/proc/self/task").expect("threads of this process");
    let name = |task: fs::DirEntry| fs::read_to_string(task.path().join("comm")).ok();
    let names = tasks.flatten().filter_map(name).map(|name| name.trim().to_owned());
    names.filter(|name| name.starts_with("claim")).collect()
}

// Guards against threads of a stopped router that go on until the process ends, each
// with its part of the router's memory.
#[test]
fn stopped_router_ends_its_claim_threads() {
    let fleet = LocalFleet::spawn(FleetOptions { routers: 1, ..FleetOptions::default() });
    let fleet = fleet.expect("fleet");
    assert!(!claim_threads().is_empty());
    for router in &fleet.routers {
        router.stop();
    }
    let deadline = Instant::now() + Duration::from_secs(3);
    while !claim_threads().is_empty() {
        assert!(Instant::now() < deadline, "still running: {:?}", claim_threads());
        thread::sleep(Duration::from_millis(20));
    }
}
