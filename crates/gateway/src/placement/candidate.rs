/// What placement knows of an endpoint.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    /// Requests at the endpoint, of all routers, as far as known.
    pub requests: f64,
    /// The part of them that other routers reported a short while ago.
    pub reported_requests: f64,
    /// Requests that wait there for a slot or for memory.
    pub waiting: u32,
    pub slots: u32,
    /// How long work takes, as a multiple of the usual time.
    pub slowness: f64,
    /// Moving latency of answers in ms; 0 if unknown.
    pub latency_ms: f64,
    pub failure_share: f64,
    /// Not to be used now: a connection to it just failed.
    pub is_paused: bool,
    /// It was tried for this request before.
    pub is_excluded: bool,
    /// It refused this request, so it is full and not asked again.
    pub has_refused: bool,
    pub is_same_zone: bool,
    /// The prompt's prefix was sent to it a short while ago.
    pub holds_prefix: bool,
    /// Takes no new requests; its cache may still be read.
    pub is_leaving: bool,
    /// Joined a short while ago, so that others hold what it is to cache.
    pub is_recently_added: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the candidate to send to.
    pub target: usize,
    /// Candidate from which the target may fetch the cache of the prompt's prefix.
    pub prefix_source: Option<usize>,
}

/// What placement knows of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Hash of the shared prefix of the prompt, if there is one.
    pub prefix_hash: Option<u64>,
    /// Breaks ties between equal endpoints, different for each request.
    pub tie_breaker: u64,
}
