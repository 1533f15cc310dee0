use {super::endpoint::Endpoint, std::rc::Rc};

/// Requests that are added to those in flight when the share of overdue ones is computed, so that
/// a single overdue request does not make an endpoint count as failing.
const REQUEST_ALLOWANCE: f64 = 5.0;

/// Share of an endpoint's requests in flight that are overdue: the endpoint may have failed, but
/// none of them has ended.
pub(super) fn overdue_share(overdue: u32, in_flight: u32) -> f64 {
    f64::from(overdue) / (f64::from(in_flight) + REQUEST_ALLOWANCE)
}

/// Counts one request as overdue at an endpoint until it is dropped.
pub(crate) struct OverdueGuard(Rc<Endpoint>);

impl OverdueGuard {
    pub(super) fn new(endpoint: Rc<Endpoint>) -> OverdueGuard {
        endpoint.overdue.set(endpoint.overdue.get() + 1);
        OverdueGuard(endpoint)
    }
}

impl Drop for OverdueGuard {
    fn drop(&mut self) {
        self.0.overdue.set(self.0.overdue.get() - 1);
    }
}
