//! Tests the transfer of the configuration from peers to a starting router.

use {
    super::decisions::{change, object},
    crate::config::{
        Config, ConfigState, SnapshotSource,
        peer_snapshot::{SerializedConfig, fetch_snapshot},
    },
    mango_wire::{
        HostId,
        peer::{ConfigReply, ConfigRequest},
    },
    std::{
        cell::RefCell,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

type ReplyFn = Box<dyn Fn(&ConfigRequest) -> Result<ConfigReply, String> + Send>;

/// Functions that reply for each host, and the number of requests so far.
struct Peers(BTreeMap<HostId, ReplyFn>, RefCell<usize>);

impl SnapshotSource for Peers {
    fn hosts(&self) -> Vec<HostId> {
        self.0.keys().cloned().collect()
    }

    fn request(
        &self,
        host: &HostId,
        request: ConfigRequest,
        _: Instant,
    ) -> Result<ConfigReply, String> {
        *self.1.borrow_mut() += 1;
        self.0[host](&request)
    }
}

fn peers(reply_fns: Vec<ReplyFn>) -> Peers {
    let named =
        reply_fns.into_iter().enumerate().map(|(n, reply_fn)| (format!("host-{n}"), reply_fn));
    Peers(named.collect(), RefCell::new(0))
}

fn config(offset: u64, teams: usize) -> Config {
    let put = (0..teams)
        .map(|n| object(&format!(r#"{{"team":{{"id":"team-{n}","labels":{{"a":"1","b":"2"}}}}}}"#)))
        .collect();
    Config::default().decide(&change("c", 0, put), offset).expect("valid")
}

fn serving(config: &Config) -> ReplyFn {
    let serialized = SerializedConfig::new(config).expect("serialises");
    Box::new(move |request| Ok(serialized.reply(request)))
}

fn failing() -> ReplyFn {
    Box::new(|_| Err("no answer".to_owned()))
}

fn fetch(peers: &Peers) -> Result<u64, String> {
    let snapshot = fetch_snapshot(peers, Instant::now() + Duration::from_secs(5))?;
    let mut state = ConfigState::new();
    assert!(state.adopt_from_peer(snapshot.clone())?);
    assert!(!state.adopt_from_peer(snapshot)?, "an equal version replaced the configuration");
    Ok(state.config().version())
}

/// A configuration that spans several messages must arrive complete.
#[test]
fn large_configuration_arrives_in_parts() {
    let config = config(7, 2000);
    let peers = peers(vec![serving(&config), serving(&config), failing()]);
    assert_eq!(fetch(&peers), Ok(7));
    assert!(*peers.1.borrow() > 4, "{} requests", peers.1.borrow());
}

/// A configuration that only one peer offers must not be adopted if several reply,
/// because that peer may be outdated or faulty.
#[test]
fn two_peers_must_agree() {
    let (old, new, unmatched) = (config(3, 2), config(5, 3), config(9, 4));
    let both =
        vec![serving(&old), serving(&old), serving(&new), serving(&new), serving(&unmatched)];
    assert_eq!(fetch(&peers(both)), Ok(5));
    assert!(fetch(&peers(vec![serving(&old), serving(&new)])).is_err());
    assert_eq!(fetch(&peers(vec![serving(&new), failing()])), Ok(5));
    assert!(fetch(&peers(vec![failing(), failing()])).is_err());
    assert!(fetch(&peers(vec![serving(&Config::default())])).is_err());
}

/// Damaged or oversized parts must not be adopted as the configuration.
#[test]
fn wrong_parts_are_refused() {
    let config = config(7, 2000);
    let altered = |alter: fn(&mut ConfigReply)| -> ReplyFn {
        let serialized = SerializedConfig::new(&config).expect("serialises");
        Box::new(move |request| {
            let mut reply = serialized.reply(request);
            alter(&mut reply);
            Ok(reply)
        })
    };
    let faults: [fn(&mut ConfigReply); 6] = [
        |reply| reply.digest ^= 1,
        |reply| reply.part[0] ^= 1,
        |reply| reply.part.clear(),
        |reply| reply.total_bytes = u32::MAX,
        |reply| reply.from_byte += 1,
        |reply| reply.version += 1,
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        assert!(fetch(&peers(vec![altered(fault)])).is_err(), "fault {index}");
    }
    // a peer that fails halfway is replaced by the other one
    let failing_midway: ReplyFn = {
        let serialized = SerializedConfig::new(&config).expect("serialises");
        Box::new(move |request| match request.from_byte {
            0 => Ok(serialized.reply(request)),
            _ => Err("stopped".to_owned()),
        })
    };
    assert_eq!(fetch(&peers(vec![failing_midway, serving(&config)])), Ok(7));
}
