use {
    crate::{
        membership::HostInfo,
        router::down_host_tracker::{DownHostTracker, HostChanges},
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

// A live host may be suspected for a short time because its heartbeats are late. Its
// running claims must not get an unknown outcome then.
#[test]
fn suspected_host_that_returns_is_not_gone() {
    let mut hosts = DownHostTracker::new(GRACE);
    let start = Instant::now();
    let both = [host("a", "1"), host("b", "1")];
    assert_eq!(hosts.update(&both, start), HostChanges::default());
    let lost = hosts.update(&both[..1], start + GRACE / 10);
    assert_eq!((lost.lost.as_slice(), lost.gone.len()), (&["b".to_owned()][..], 0));
    assert_eq!(hosts.update(&both, start + GRACE / 2), HostChanges::default());
    assert_eq!(hosts.update(&both, start + GRACE * 2), HostChanges::default());
}

// The claims of a host that has ended must not stay running forever.
#[test]
fn missing_and_replaced_hosts_are_gone() {
    let mut hosts = DownHostTracker::new(GRACE);
    let start = Instant::now();
    hosts.update(&[host("a", "1"), host("b", "1")], start);
    let replaced = hosts.update(&[host("a", "2")], start);
    assert_eq!(replaced.gone, ["a"]);
    assert_eq!(replaced.lost.len(), 2);
    assert!(hosts.update(&[host("a", "2")], start + GRACE / 2).gone.is_empty());
    assert_eq!(hosts.update(&[host("a", "2")], start + GRACE).gone, ["b"]);
    assert!(hosts.update(&[host("a", "2")], start + GRACE * 2).gone.is_empty());
}
