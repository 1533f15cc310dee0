use {
    crate::http1::RequestHead,
    std::{net::SocketAddr, time::Duration},
};

/// What is said to an endpoint in front of the body.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    /// The caller's head; its end-to-end headers are passed on.
    pub head: &'a RequestHead,
    /// The endpoint that is meant; another one refuses the request.
    pub endpoint_id: &'a str,
    pub team: Option<&'a str>,
    pub time_left: Duration,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    /// Events up to this one were delivered.
    pub last_event_id: Option<u64>,
    /// Endpoint from which the cache of the prompt's prefix is to be fetched.
    pub prefix_source: Option<SocketAddr>,
    pub body_bytes: usize,
}
