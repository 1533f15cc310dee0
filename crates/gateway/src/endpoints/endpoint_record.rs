use {
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    strum::{Display, EnumString, IntoStaticStr},
    xxhash_rust::xxh3::xxh3_64,
};

/// ID of an endpoint: the key of its record in the store.
pub type EndpointId = Rc<str>;

/// The record that an endpoint publishes about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    pub id: EndpointId,
    pub service: Rc<str>,
    pub address: SocketAddr,
    pub zone: Rc<str>,
    /// Version of the endpoint's software.
    pub software_version: Rc<str>,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    pub state: EndpointState,
    /// How much longer the endpoint is cold after its start, in ms.
    pub cold_ms: u64,
    /// Start of the endpoint's process in Unix milliseconds.
    pub started_at_unix_ms: u64,
    /// Increases with each record of one process.
    pub sequence: u64,
}

/// Time within which endpoints write expired records again after the store's recovery.
pub(crate) const RENEWAL_TIME: Duration = Duration::from_millis(2_100);

/// Most requests that an endpoint runs at once; a record with more is invalid.
const MAX_SLOTS: u32 = 65_536;
/// Largest sequence number: an endpoint that writes ten records a second reaches it after 13 years.
/// A larger one would hide all later records of its endpoint.
const MAX_SEQUENCE: u64 = u32::MAX as u64;
/// How far the clock of an endpoint may be ahead of that of a host. A record that claims a later
/// start would hide all later records of its endpoint.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// Why a record cannot come from an endpoint although its fields have the right types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ImplausibleRecord {
    TooManySlots,
    SequenceTooLarge,
    StartedInTheFuture,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    Ready,
    /// Accepts no new requests and is about to stop.
    Draining,
}

impl EndpointRecord {
    /// Checks that the values are possible, so that a record of another writer does not hide
    /// those of an endpoint.
    pub(crate) fn check(&self, now: SystemTime) -> Result<(), ImplausibleRecord> {
        let started_at = Duration::from_millis(self.started_at_unix_ms);
        let latest_start = now.duration_since(UNIX_EPOCH).unwrap_or_default() + MAX_CLOCK_LEAD;
        if self.slots > MAX_SLOTS {
            return Err(ImplausibleRecord::TooManySlots);
        }
        if self.sequence > MAX_SEQUENCE {
            return Err(ImplausibleRecord::SequenceTooLarge);
        }
        if started_at > latest_start {
            return Err(ImplausibleRecord::StartedInTheFuture);
        }
        Ok(())
    }

    /// Digest of all that differs between records of different content: not of the sequence number
    /// and of the time for which the endpoint stays cold.
    pub(crate) fn digest(&self) -> u64 {
        let EndpointRecord { id, service, address, zone, software_version, .. } = self;
        let (slots, state, started_at_ms) = (self.slots, self.state, self.started_at_unix_ms);
        let text = format!(
            "{id}\n{service}\n{address}\n{zone}\n{software_version}\n{slots}\n{state}\n{started_at_ms}"
        );
        xxh3_64(text.as_bytes())
    }

    /// Whether this record is from a later start of the endpoint than `known`.
    pub fn is_restart_of(&self, known: &EndpointRecord) -> bool {
        self.started_at_unix_ms > known.started_at_unix_ms
    }

    /// Whether this record is from an earlier start than `known`, or was written before it. A process
    /// that drains does not become ready again, whatever the sequence numbers say.
    pub fn is_older_than(&self, known: &EndpointRecord) -> bool {
        let order = |record: &EndpointRecord| {
            let is_draining = record.state == EndpointState::Draining;
            (record.started_at_unix_ms, is_draining, record.sequence)
        };
        order(self) < order(known)
    }

    /// Whether not both records can be the endpoint's own: it never changes its service, and its
    /// address and zone only with a new start.
    pub(crate) fn contradicts(&self, known: &EndpointRecord) -> bool {
        let is_same_start = self.started_at_unix_ms == known.started_at_unix_ms;
        let has_moved = self.address != known.address || self.zone != known.zone;
        self.service != known.service || (is_same_start && has_moved)
    }

    /// Whether this record says the same as `known` but for how long the endpoint has run.
    pub(crate) fn says_only_alive(&self, known: &EndpointRecord) -> bool {
        let heartbeat = EndpointRecord {
            sequence: self.sequence,
            // an endpoint gets warmer with time; more means that it is cold again
            cold_ms: self.cold_ms.min(known.cold_ms),
            ..known.clone()
        };
        *self == heartbeat
    }
}
