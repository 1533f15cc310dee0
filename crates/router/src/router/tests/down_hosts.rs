use {
    crate::{
        membership::HostInfo,
        router::down_hosts::{DownHosts, HostChanges},
    },
    std::time::{Duration, Instant},
};

const GRACE: Duration = Duration::from_secs(10);

fn host(id: &str, identity: &str) -> HostInfo {
    HostInfo {
        host_id: id.to_owned(),
        identity: identity.to_owned(),
        region: String::new(),
        zone: String::new(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
    }
}

// Guards against running claims of a live host that are given up because a monitor lost
// sight of it for a moment.
#[test]
fn suspected_host_that_returns_is_not_gone() {
    let mut hosts = DownHosts::new(GRACE);
    let start = Instant::now();
    let both = [host("a", "1"), host("b", "1")];
    assert_eq!(hosts.review(&both, start), HostChanges::default());
    let lost = hosts.review(&both[..1], start + GRACE / 10);
    assert_eq!((lost.lost.as_slice(), lost.gone.len()), (&["b".to_owned()][..], 0));
    assert_eq!(hosts.review(&both, start + GRACE / 2), HostChanges::default());
    assert_eq!(hosts.review(&both, start + GRACE * 2), HostChanges::default());
}

// Guards against claims of a dead host that stay running for good.
#[test]
fn missing_and_replaced_hosts_are_gone() {
    let mut hosts = DownHosts::new(GRACE);
    let start = Instant::now();
    hosts.review(&[host("a", "1"), host("b", "1")], start);
    let replaced = hosts.review(&[host("a", "2")], start);
    assert_eq!(replaced.gone, ["a"]);
    assert_eq!(replaced.lost.len(), 2);
    assert!(hosts.review(&[host("a", "2")], start + GRACE / 2).gone.is_empty());
    assert_eq!(hosts.review(&[host("a", "2")], start + GRACE).gone, ["b"]);
    assert!(hosts.review(&[host("a", "2")], start + GRACE * 2).gone.is_empty());
}
