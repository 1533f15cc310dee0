use std::time::{Duration, Instant};

/// Older reports are ignored, since they say little about the current load.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Current processing time, as a multiple of the usual time.
    pub slowness: f64,
}

/// Load of an endpoint, from its last report and the requests of this process since then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    report: Option<LoadReport>,
    valid_until: Option<Instant>,
    /// Requests of this process that were in flight when the report was received.
    in_flight_at_report: u32,
}

impl LoadEstimate {
    pub(crate) fn record(&mut self, report: LoadReport, in_flight: u32, now: Instant) {
        self.report = Some(report);
        self.valid_until = Some(now + REPORT_LIFETIME);
        self.in_flight_at_report = in_flight;
    }

    /// Estimated requests at the endpoint, from all routers. `peer_requests` is the number that
    /// other routers reported; without it, the last report of the endpoint is used.
    pub(crate) fn requests(&self, in_flight: u32, peer_requests: Option<u32>, now: Instant) -> f64 {
        if let Some(peer_requests) = peer_requests {
            return f64::from(in_flight) + f64::from(peer_requests);
        }
        let Some(report) = self.valid_report(now) else { return f64::from(in_flight) };
        let reported = f64::from(report.running) + f64::from(report.waiting);
        let since_report = f64::from(in_flight) - f64::from(self.in_flight_at_report);
        (reported + since_report).max(f64::from(in_flight))
    }

    /// Requests that are queued at the endpoint, from its last report; 0 without a valid one.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        self.valid_report(now).map_or(0, |report| report.waiting)
    }

    /// Processing time as a multiple of the usual time; 1 without a valid report.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.valid_report(now).map_or(1.0, |report| report.slowness.clamp(0.5, 20.0))
    }

    fn valid_report(&self, now: Instant) -> Option<&LoadReport> {
        self.report.as_ref().filter(|_| self.valid_until.is_some_and(|until| now < until))
    }
}
