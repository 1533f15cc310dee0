use {
    crate::endpoints::{EndpointRecord, EndpointState},
    std::time::Instant,
};

/// An endpoint that runs.
pub(super) struct RunningEndpoint {
    pub(super) started_at_ms: u64,
    pub(super) sequence: u64,
    pub(super) state: EndpointState,
    /// When it writes its record again, if that has vanished.
    pub(super) writes_at: Option<Instant>,
}

impl RunningEndpoint {
    pub(super) fn record(&mut self) -> String {
        self.sequence += 1;
        format!("{} {} {}", self.started_at_ms, self.sequence, self.state)
    }
}

/// Decodes `START SEQUENCE STATE`.
pub(super) fn decode_endpoint(key: &str, bytes: &[u8]) -> Result<EndpointRecord, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not text")?;
    let fields: Vec<&str> = text.split(' ').collect();
    let [start, sequence, state, ..] = fields[..] else { return Err("not three fields".into()) };
    Ok(EndpointRecord {
        id: key.into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().map_err(|_| "address")?,
        zone: "z".into(),
        software_version: "v1".into(),
        slots: 1,
        state: state.parse().map_err(|_| "state")?,
        cold_ms: 0,
        started_at_unix_ms: start.parse().map_err(|_| "start")?,
        sequence: sequence.parse().map_err(|_| "sequence")?,
    })
}
