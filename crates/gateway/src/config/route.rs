use {super::request_kind::RequestKind, std::rc::Rc, xxhash_rust::xxh3::xxh3_64};

/// Rules for the requests to a path prefix of a host name.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: Rc<str>,
    pub host_name: Rc<str>,
    pub path_prefix: Rc<str>,
    /// Services among which the requests are divided.
    pub shares: Vec<ServiceShare>,
    pub kind: RequestKind,
    /// Maximum time from the receipt of a request head to the complete response.
    pub timeout_ms: u64,
    /// Target for the time to the response, or to the first event of a stream. Requests that
    /// exceed it do not count in full for the platform; the router only reports the value.
    pub target_latency_ms: u64,
    /// Maximum number of sends of a request after which it may have run; failed connections
    /// and refused sends do not count.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests are allowed without an API key.
    pub is_anonymous_allowed: bool,
    /// Whether requests carry the hash of their prompt's prefix, so that placement can choose an
    /// endpoint that has the prefix cached.
    pub has_prompt_prefix: bool,
    /// Whether an interrupted stream may be resumed on another endpoint after its last event.
    pub is_resumable: bool,
}

/// A service of a route; it gets requests in proportion to its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    pub service: Rc<str>,
    pub weight: u32,
}

impl Route {
    /// Chooses the service of a request by its key, in proportion to the weights: the same key
    /// always gets the same service. Returns `None` if all weights are 0.
    pub(crate) fn choose_service(&self, key: &str) -> Option<&Rc<str>> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = xxh3_64(key.as_bytes()).checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Whether a request may be sent again if an endpoint may already have run it.
    pub fn may_rerun(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }
}
