use {
    super::{
        running_endpoint::{RunningEndpoint, decode_endpoint},
        store::Store,
    },
    crate::{
        clock::Now,
        endpoints::{Directory, EndpointState},
        followers::{
            EndpointSink,
            log_copy::LogCopy,
            record_sink::RecordSink,
            tests::{own_host, peers_of},
        },
        peers::{PeerState, RelayedFeedStatus, encode_changes},
        records::{FeedKind, LogChanges, LogListing},
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::HostRecord,
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

pub(super) const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Greatest age of a confirmation with which a relay is followed.
pub(super) const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Interval at which a host reads the store.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(750);

/// Bandwidth of the relays, in megabits per second.
const LINK_MBPS: u32 = 1_000;

/// What a host reads from the relay when that has read new records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Design {
    /// The records since its own position.
    Records,
    /// A copy of all that the relay knows.
    Copies,
}

pub(super) struct ZoneHost {
    pub(super) peers: Rc<PeerState>,
    pub(super) directory: Rc<Directory>,
    pub(super) copy: LogCopy<EndpointSink>,
    pub(super) started_at: Instant,
    pub(super) has_failed: bool,
    pub(super) next_poll_at: Instant,
}

impl ZoneHost {
    pub(super) fn start(name: usize, now: Instant) -> ZoneHost {
        let own = HostRecord { host_id: format!("host-{name}"), ..own_host() };
        let peers = peers_of(own, MAX_AGE);
        let directory = Rc::new(Directory::default());
        let metrics = Rc::new(GatewayMetrics::new());
        let sink = EndpointSink::new(
            directory.clone(),
            decode_endpoint,
            HEARTBEAT,
            POLL_INTERVAL,
            metrics,
        );
        ZoneHost {
            copy: LogCopy::new(sink, peers.clone()),
            peers,
            directory,
            started_at: now,
            has_failed: false,
            next_poll_at: now,
        }
    }

    /// Reads the log from the store once, if that answers.
    pub(super) fn read_store(&mut self, store: &Store, now: Now) {
        self.next_poll_at = now.instant + POLL_INTERVAL;
        if store.down_since.is_some() {
            self.has_failed = true;
            return;
        }
        let has_failed = std::mem::take(&mut self.has_failed);
        let (end, era) = (store.end(), store.era);
        if self.copy.position().is_some_and(|from| from > end) {
            self.copy.reset_position();
        }
        match self.copy.position() {
            None => {
                let records = store.newest.values().cloned().collect();
                self.copy.apply_listing(
                    LogListing { records, end, era },
                    has_failed,
                    now.boot,
                    now,
                );
            }
            Some(from) => {
                let records = store.log[from as usize..].to_vec();
                let changes = LogChanges { records, next: end, end, era };
                self.copy.apply_changes(changes, has_failed, now.boot, now);
                if self.copy.position().is_none() {
                    self.read_store(store, now);
                }
            }
        }
    }

    /// Whether the host has a copy of the log.
    pub(super) fn is_following(&self) -> bool {
        self.copy.position().is_some()
    }

    /// Whether this host may follow a relay with that copy.
    pub(super) fn accepts(&self, relay: &ZoneHost, now: Now) -> bool {
        let feed = relay.peers.published_feed(FeedKind::Endpoints).borrow();
        self.copy.accepts_era(feed.status(now.boot).era)
    }

    pub(super) fn is_usable_relay(&self, now: Now) -> bool {
        let feed = self.peers.published_feed(FeedKind::Endpoints).borrow();
        feed.confirmation_age(now.boot).is_some_and(|age| age <= MAX_AGE)
    }

    /// Takes a status and, if need be, records from the relay. Returns whether both know the same then.
    pub(super) fn follow(&mut self, relay: &ZoneHost, now: Now) -> bool {
        self.follow_by(Design::Records, relay, now);
        let status = relay.peers.published_feed(FeedKind::Endpoints).borrow().status(now.boot);
        let is_comparable = self.copy.position() == Some(status.position);
        !is_comparable || self.copy.sink.digest() == status.digest
    }

    /// The same by one of two designs. Returns the bytes that were read from the relay.
    pub(super) fn follow_by(&mut self, design: Design, relay: &ZoneHost, now: Now) -> usize {
        let feed = relay.peers.published_feed(FeedKind::Endpoints).borrow();
        let status = feed.status(now.boot);
        let age = Duration::from_millis(status.confirmed_age_ms.expect("a usable relay"));
        let span = Duration::from_millis(status.confirmed_span_ms);
        let status = RelayedFeedStatus {
            address: ([127, 0, 0, 1], 1).into(),
            position: status.position,
            last_change: status.changed,
            confirmed_at: now.boot.checked_sub(age),
            continuous_since: now.instant.checked_sub(age + span),
            follows_outage: status.follows_outage,
            digest: status.digest,
            era: status.era,
        };
        self.copy.record_outage(&status, self.has_failed, now);
        let missing_from = match design {
            Design::Records => self.copy.missing_from(&status),
            Design::Copies => (self.copy.position() != Some(status.position)).then_some(0),
        };
        let mut bytes = 0;
        if let Some(from) = missing_from {
            bytes = encode_changes(&feed, from, LINK_MBPS).expect("a few records").len();
            self.copy.apply_relayed(feed.changes(from), from, now);
        }
        if self.copy.follow_status(&status, now) {
            self.has_failed = false;
        }
        bytes
    }

    /// Whether the host uses any start of an endpoint.
    pub(super) fn uses_any(&self, id: &str) -> bool {
        self.endpoints().get(id).is_some_and(|(_, state)| *state == EndpointState::Ready)
    }

    /// Whether the host uses an endpoint, and knows this start of it.
    pub(super) fn uses(&self, id: &str, endpoint: &RunningEndpoint) -> bool {
        self.endpoints().get(id) == Some(&(endpoint.started_at_ms, EndpointState::Ready))
    }

    /// The records of the endpoints in use.
    pub(super) fn endpoints(&self) -> BTreeMap<String, (u64, EndpointState)> {
        let endpoints = self.directory.all();
        let records = endpoints.iter().map(|endpoint| endpoint.record.borrow());
        records
            .map(|record| (record.id.to_string(), (record.started_at_unix_ms, record.state)))
            .collect()
    }
}
