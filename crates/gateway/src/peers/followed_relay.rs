use {
    crate::{
        clock::BootInstant,
        records::{Era, Offset},
    },
    mango_wire::gossip::FeedStatus,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// State of one log according to the last status of the zone's relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayedFeedStatus {
    /// Address at which the relay serves records.
    pub(crate) address: SocketAddr,
    /// Offset after the last record that the relay has read.
    pub(crate) position: Offset,
    /// Offset of the last record that changed the state.
    pub(crate) last_change: Option<Offset>,
    /// The log held nothing after `position` at this time, if that is known.
    pub(crate) confirmed_at: Option<BootInstant>,
    /// Since when the relay has followed the log without an outage of the store.
    pub(crate) continuous_since: Option<Instant>,
    /// Whether an outage ended then; otherwise the relay had followed none before.
    pub(crate) follows_outage: bool,
    /// Digest of what the records before `position` say.
    pub(crate) digest: u64,
    /// Generation of the store's contents to which the position belongs.
    pub(crate) era: Era,
}

/// The relay from which this host takes records and the loads of other hosts, with its last
/// status.
#[derive(Clone, Debug)]
pub(super) struct FollowedRelay {
    pub(super) host_id: String,
    /// Rank in the election of the zone's relay; the lowest rank is the best.
    pub(super) rank: u64,
    pub(super) received_at: Instant,
    pub(super) gossip_address: SocketAddr,
    /// Address at which the relay serves records.
    pub(super) relay_address: SocketAddr,
    /// Time at which this host sent the report that the status answers. The relay computed
    /// the ages in its status after this time, however long the status was in transit.
    pub(super) report_sent_at: Option<BootInstant>,
    /// Ranks of the hosts that would relay next.
    pub(super) successor_ranks: Vec<u64>,
    pub(super) config: FeedStatus,
    pub(super) endpoints: FeedStatus,
}

impl FollowedRelay {
    /// Converts the relay's confirmation age to a time of this host's clock.
    pub(super) fn feed_status(&self, status: &FeedStatus) -> RelayedFeedStatus {
        let age = status.confirmed_age_ms.map(Duration::from_millis);
        let confirmed_at =
            self.report_sent_at.zip(age).and_then(|(sent_at, age)| sent_at.checked_sub(age));
        let span = Duration::from_millis(status.confirmed_span_ms);
        RelayedFeedStatus {
            address: self.relay_address,
            position: status.position,
            last_change: status.changed,
            confirmed_at,
            continuous_since: age.and_then(|age| self.received_at.checked_sub(age + span)),
            follows_outage: status.follows_outage,
            digest: status.digest,
            era: status.era,
        }
    }
}
