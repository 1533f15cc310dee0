use {
    crate::{callers::AdmittedRequest, statistics::MovingMean},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Shorter usual times count as this one: scheduling delays are of the same size.
const MIN_USUAL_TIME: Duration = Duration::from_millis(40);

/// A service and a route.
type ServiceRoute = (Rc<str>, Rc<str>);

/// Mean times from a send to the complete response, or to the first event of a stream, over all
/// endpoints of a service.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    means: RefCell<HashMap<ServiceRoute, MovingMean>>,
}

impl AnswerTimes {
    pub(super) fn record(&self, request: &AdmittedRequest, time: Duration) {
        self.means.borrow_mut().entry(service_route(request)).or_default().record(time);
    }

    /// The usual time of requests like this one; the target latency of the route before the first
    /// answer.
    pub(super) fn usual(&self, request: &AdmittedRequest) -> Duration {
        let means = self.means.borrow();
        let mean = means.get(&service_route(request)).and_then(MovingMean::get);
        let target = Duration::from_millis(request.route.target_latency_ms);
        mean.unwrap_or(target).max(MIN_USUAL_TIME)
    }
}

fn service_route(request: &AdmittedRequest) -> ServiceRoute {
    (request.service.clone(), request.route.name.clone())
}
