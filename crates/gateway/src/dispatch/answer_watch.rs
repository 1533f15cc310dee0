use {
    crate::{
        callers::{AdmittedRequest, Protocol},
        endpoints::{Endpoint, OverdueGuard},
        server::Gateway,
        telemetry::event,
    },
    std::{
        cell::RefCell,
        pin::pin,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep_until,
};

/// A send is overdue after this multiple of the usual time to an answer.
const OVERDUE_FACTOR: f64 = 4.0;
/// Lowest multiple at which a send is overdue, if its deadline comes before `OVERDUE_FACTOR`.
const MIN_OVERDUE_FACTOR: f64 = 3.0;
/// Share of the time to the deadline after which a send is overdue, between these two bounds.
/// Callers may leave a little before the deadline.
const DEADLINE_SHARE: f64 = 0.9;

/// Watches whether an endpoint answers a request in time.
///
/// While a send is overdue, it raises the failure share of its endpoint. If it is cancelled then,
/// since its deadline passed, its caller left or the process stops, it counts as failed. A send
/// that is cancelled before it is overdue says nothing about its endpoint.
pub(super) struct AnswerWatch<'a, P: Protocol> {
    gateway: &'a Gateway<P>,
    request: &'a AdmittedRequest,
    endpoint: &'a Rc<Endpoint>,
    sent_at: Instant,
    /// Usual time to an answer when the request was sent.
    usual_time: Duration,
    state: RefCell<WatchState>,
}

enum WatchState {
    Waiting,
    Overdue {
        _guard: OverdueGuard,
    },
    /// The endpoint has answered, or the send ended.
    Done,
}

impl<'a, P: Protocol> AnswerWatch<'a, P> {
    pub(super) fn start(
        gateway: &'a Gateway<P>,
        request: &'a AdmittedRequest,
        endpoint: &'a Rc<Endpoint>,
    ) -> AnswerWatch<'a, P> {
        AnswerWatch {
            gateway,
            request,
            endpoint,
            sent_at: Instant::now(),
            usual_time: gateway.answer_times.usual(request),
            state: RefCell::new(WatchState::Waiting),
        }
    }

    /// Runs a send to its end.
    pub(super) async fn run<T>(&self, send: impl Future<Output = T>) -> T {
        let overdue_at = self.sent_at + overdue_time(self.usual_time, self.request.time_left());
        let mut send = pin!(send);
        let result = tokio::select! {
            biased;
            result = &mut send => result,
            _ = sleep_until(overdue_at.into()) => {
                self.set_overdue();
                send.await
            }
        };
        self.stop();
        result
    }

    /// Records that a successful response is complete, or that the first event of a stream
    /// arrived.
    pub(super) fn record_answer(&self) {
        self.stop();
        self.gateway.answer_times.record(self.request, self.sent_at.elapsed());
    }

    /// Ends the watch: what is left to do does not depend on the endpoint.
    pub(super) fn stop(&self) {
        self.state.replace(WatchState::Done);
    }

    fn set_overdue(&self) {
        let mut state = self.state.borrow_mut();
        if matches!(*state, WatchState::Waiting) {
            *state = WatchState::Overdue { _guard: self.endpoint.start_overdue() };
            event!("send_overdue", "{}", self.describe());
        }
    }

    /// The send as key=value pairs for the log.
    fn describe(&self) -> String {
        format!(
            "id={} endpoint={} waited_ms={} usual_ms={}",
            self.request.caller.id,
            self.endpoint.record.borrow().id,
            self.sent_at.elapsed().as_millis(),
            self.usual_time.as_millis()
        )
    }
}

impl<P: Protocol> Drop for AnswerWatch<'_, P> {
    fn drop(&mut self) {
        if matches!(*self.state.borrow(), WatchState::Overdue { .. }) {
            self.endpoint.update_health(|health| health.record_failure(Instant::now()));
            self.gateway.metrics.count_send("unanswered");
            event!("send_unanswered", "{}", self.describe());
        }
    }
}

/// Time after which a send is overdue.
pub(super) fn overdue_time(usual_time: Duration, time_left: Duration) -> Duration {
    let min = usual_time.mul_f64(MIN_OVERDUE_FACTOR);
    let max = usual_time.mul_f64(OVERDUE_FACTOR);
    time_left.mul_f64(DEADLINE_SHARE).clamp(min, max)
}
