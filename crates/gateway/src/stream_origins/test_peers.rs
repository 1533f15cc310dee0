use {
    crate::peers::{MaxConfirmationAges, PeerState},
    mango_wire::gossip::HostRecord,
    std::{rc::Rc, time::Duration},
};

/// What a host that has heard of no other knows, for tests.
pub(super) fn peers() -> Rc<PeerState> {
    let host = HostRecord {
        host_id: "own".to_owned(),
        zone: "z".to_owned(),
        gossip_address: "127.0.0.1:1".to_owned(),
        relay_address: "127.0.0.1:2".to_owned(),
        link_mbps: 100,
    };
    let max_age = Duration::from_millis(1_500);
    Rc::new(PeerState::new(host, MaxConfirmationAges { config: max_age, endpoints: max_age }))
}
