use {
    crate::http1::RequestHead,
    std::{net::SocketAddr, time::Duration},
};

/// The data from which the head of a request to an endpoint is written.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    /// Head of the caller's request; its end-to-end headers are forwarded.
    pub head: &'a RequestHead,
    /// The endpoint that the request is for; an endpoint with another ID refuses it.
    pub endpoint_id: &'a str,
    pub team: Option<&'a str>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Priority from 0, the most urgent; `None` on routes without prompt prefixes.
    pub priority: Option<u8>,
    /// ID of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// Address of the endpoint from which to fetch the cache of the prompt's prefix.
    pub prefix_source: Option<SocketAddr>,
    pub body_bytes: usize,
}
