use {
    std::{net::SocketAddr, rc::Rc},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Name of one incarnation of an endpoint.
pub type EndpointId = Rc<str>;

/// What an endpoint says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    pub id: EndpointId,
    pub service: Rc<str>,
    pub address: SocketAddr,
    pub zone: Rc<str>,
    /// Requests that run at once.
    pub slots: u32,
    pub state: EndpointState,
    /// Start of the process in Unix milliseconds, if it says so.
    pub started_at_unix_ms: Option<u64>,
    /// Rises with each record of one process.
    pub sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    Ready,
    /// Takes no new work and is about to stop.
    Draining,
}

impl EndpointRecord {
    /// Whether this record is of a later start of the same endpoint.
    pub fn is_restart_of(&self, known: &EndpointRecord) -> bool {
        match (self.started_at_unix_ms, known.started_at_unix_ms) {
            (Some(own), Some(other)) => own > other,
            _ => false,
        }
    }

    /// Whether this record says something older than what is known.
    pub fn is_older_than(&self, known: &EndpointRecord) -> bool {
        match (self.started_at_unix_ms, known.started_at_unix_ms) {
            (Some(own), Some(other)) if own != other => own < other,
            _ => self.sequence < known.sequence,
        }
    }
}
