use {
    crate::{clock::BootInstant, followers::Offset},
    mango_wire::gossip::FeedStatus,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// What the relay of the zone last said of one log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayedFeed {
    pub(crate) address: SocketAddr,
    pub(crate) position: Offset,
    pub(crate) changed: Option<Offset>,
    /// The log held nothing after `position` at this time, if that is known.
    pub(crate) confirmed_at: Option<BootInstant>,
}

/// Status of a relay as it was received.
#[derive(Clone, Debug)]
pub(super) struct RelayView {
    pub(super) host_id: String,
    pub(super) rank: u64,
    pub(super) heard_at: Instant,
    pub(super) gossip_address: SocketAddr,
    pub(super) relay_address: SocketAddr,
    /// Time at which this host sent the report that the status answers. The relay
    /// wrote its ages after that, however long the status was on its way.
    pub(super) echo: Option<BootInstant>,
    pub(super) config: FeedStatus,
    pub(super) endpoints: FeedStatus,
}

impl RelayView {
    pub(super) fn feed(&self, status: &FeedStatus) -> RelayedFeed {
        let age = status.confirmed_age_ms.map(Duration::from_millis);
        let confirmed_at = self.echo.zip(age).and_then(|(echo, age)| echo.checked_sub(age));
        RelayedFeed {
            address: self.relay_address,
            position: status.position,
            changed: status.changed,
            confirmed_at,
        }
    }
}
