use {super::request_kind::RequestKind, rand::RngExt, std::rc::Rc};

/// Requests to one path prefix of one host name.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: Rc<str>,
    pub host_name: Rc<str>,
    pub path_prefix: Rc<str>,
    pub shares: Vec<ServiceShare>,
    pub kind: RequestKind,
    /// Longest time that a request may wait for its whole answer.
    pub timeout_ms: u64,
    /// Time to the answer, or to the first event of a stream, for full credit.
    pub target_latency_ms: u64,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    pub is_anonymous_allowed: bool,
    /// Whether requests name their prompt's prefix, so that placement can reuse a cache.
    pub has_prompt_prefix: bool,
    /// Whether a stream may continue on another endpoint after its last event.
    pub is_resumable: bool,
}

/// Share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    pub service: Rc<str>,
    pub weight: u32,
}

impl Route {
    /// Draws a service in proportion to the weights.
    pub(crate) fn choose_service(&self) -> Option<&Rc<str>> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return None;
        }
        let mut rest = rand::rng().random_range(0..total);
        for share in &self.shares {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        None
    }

    /// Whether a request may run again after it may have run.
    pub fn may_rerun(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }
}
