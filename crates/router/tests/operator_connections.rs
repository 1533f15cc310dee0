//! Connections to the operators' address.

use {
    mango_testkit::{FleetOptions, LocalFleet},
    std::{thread, time::Duration},
};

/// Guards against requests of operators, probes and scrapers whose new connection is
/// accepted and never answered.
#[test]
fn every_new_connection_is_answered() {
    let fleet = LocalFleet::spawn(FleetOptions { routers: 1, ..FleetOptions::default() });
    let fleet = fleet.expect("fleet");
    let url = format!("http://{}/healthz", fleet.routers[0].operator_address());
    let unanswered: usize = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let call = |_: &usize| {
                        let agent = ureq::Agent::config_builder()
                            .timeout_global(Some(Duration::from_secs(3)))
                            .build()
                            .new_agent();
                        agent.get(&url).call().is_err()
                    };
                    (0..100).filter(call).count()
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("caller")).sum()
    });
    assert_eq!(unanswered, 0, "of 800 connections");
}
