use {
    std::{net::SocketAddr, rc::Rc},
    strum::{Display, EnumString, IntoStaticStr},
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
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    pub state: EndpointState,
    /// Start of the endpoint's process in Unix milliseconds, if the record has it.
    pub started_at_unix_ms: Option<u64>,
    /// Increases with each record of one process.
    pub sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    Ready,
    /// Accepts no new requests and is about to stop.
    Draining,
}

impl EndpointRecord {
    /// Whether this record is from a later start of the endpoint than `known`.
    pub fn is_restart_of(&self, known: &EndpointRecord) -> bool {
        match (self.started_at_unix_ms, known.started_at_unix_ms) {
            (Some(own), Some(other)) => own > other,
            _ => false,
        }
    }

    /// Whether this record is older than `known`. The sequence numbers are compared only if the
    /// start times are equal or one is unknown.
    pub fn is_older_than(&self, known: &EndpointRecord) -> bool {
        match (self.started_at_unix_ms, known.started_at_unix_ms) {
            (Some(own), Some(other)) if own != other => own < other,
            _ => self.sequence < known.sequence,
        }
    }
}
