use std::rc::Rc;

/// A named group of endpoints that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: Rc<str>,
    /// Maximum number of connections that one endpoint accepts from all clients together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start, in ms; 0 if it never is.
    pub cold_start_ms: u64,
    /// Requests per second of all hosts together that a cold endpoint bears; 0 if there is no limit.
    pub cold_requests_per_s: f64,
}
