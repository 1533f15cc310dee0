/// The properties of an endpoint that placement depends on.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    /// Estimated requests at the endpoint, from all routers.
    pub requests: f64,
    /// The part of `requests` that other routers reported recently.
    pub reported_requests: f64,
    /// Requests that are queued at the endpoint for a slot or for memory.
    pub waiting: u32,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Current processing time, as a multiple of the usual time.
    pub slowness: f64,
    /// Moving average of the response latency in ms; 0 if unknown.
    pub latency_ms: f64,
    /// Share of recent requests that failed, from 0 to 1.
    pub failure_share: f64,
    /// A connection to the endpoint failed recently; it is chosen only if no other
    /// untried endpoint is left.
    pub is_paused: bool,
    /// The endpoint was already chosen for this request.
    pub was_tried: bool,
    /// The endpoint refused the request, for example because it is full; it does not receive it
    /// again.
    pub has_refused: bool,
    pub is_same_zone: bool,
    /// This router has an open connection to the endpoint that no request uses.
    pub has_idle_connection: bool,
    /// The prompt's prefix was sent to the endpoint recently, so its cache should hold it.
    pub holds_prefix: bool,
    /// Does not receive the request from this host, since it is leaving, closed, evacuated or cold, or
    /// the request goes on with a stream of another software version; other endpoints may still fetch
    /// its cache.
    pub is_closed: bool,
    /// Added recently, so other endpoints may still hold the prefixes that now rank it first.
    pub is_recently_added: bool,
}

/// The endpoint chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the candidate to send to.
    pub target: usize,
    /// Index of the candidate from which the target may fetch the cache of the prompt's prefix.
    pub prefix_source: Option<usize>,
}

/// The properties of a request that placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Hash of the shared prefix of the prompt, if there is one.
    pub prefix_hash: Option<u64>,
    /// Length of that prefix.
    pub shared_tokens: u32,
    /// Random per request, so that equally loaded endpoints are chosen equally often.
    pub tie_breaker: u64,
}
