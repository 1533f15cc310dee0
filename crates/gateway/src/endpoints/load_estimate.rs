use std::time::{Duration, Instant};

/// A report of another moment says little about the present load after this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Load of an endpoint as it reports it with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// How long work takes now, as a multiple of the usual time.
    pub slowness: f64,
}

/// Load of an endpoint, from its last report and from what this process sent since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    report: Option<LoadReport>,
    valid_until: Option<Instant>,
    /// Requests of this process that were in flight when the report was made.
    in_flight_at_report: u32,
}

impl LoadEstimate {
    pub(crate) fn record(&mut self, report: LoadReport, in_flight: u32, now: Instant) {
        self.report = Some(report);
        self.valid_until = Some(now + REPORT_LIFETIME);
        self.in_flight_at_report = in_flight;
    }

    /// Requests at the endpoint, of all routers. `others` is what the other routers
    /// told; without it the last report of the endpoint is used.
    pub(crate) fn requests(&self, in_flight: u32, others: Option<u32>, now: Instant) -> f64 {
        if let Some(others) = others {
            return f64::from(in_flight) + f64::from(others);
        }
        let Some(report) = self.valid_report(now) else { return f64::from(in_flight) };
        let reported = f64::from(report.running + report.waiting);
        let since = f64::from(in_flight) - f64::from(self.in_flight_at_report);
        (reported + since).max(f64::from(in_flight))
    }

    /// Requests that wait at the endpoint, by its last report.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        self.valid_report(now).map_or(0, |report| report.waiting)
    }

    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.valid_report(now).map_or(1.0, |report| report.slowness.clamp(0.5, 20.0))
    }

    fn valid_report(&self, now: Instant) -> Option<&LoadReport> {
        self.report.as_ref().filter(|_| self.valid_until.is_some_and(|until| now < until))
    }
}
