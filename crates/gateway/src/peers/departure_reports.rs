use {
    mango_wire::gossip::Departure,
    std::time::{Duration, Instant},
};

/// For how long a departure is reported: a few rounds, since datagrams may be lost.
const REPORT_TIME: Duration = Duration::from_millis(1_000);
/// Most departures in one report, so that it fits a datagram.
const MAX_DEPARTURES: usize = 256;

/// Departures of endpoints that this host tells others of: those that it has seen itself and, if it
/// relays, those that it was told of.
#[derive(Debug, Default)]
pub(super) struct DepartureReports {
    reported: Vec<(Departure, Instant)>,
}

impl DepartureReports {
    pub(super) fn add(&mut self, departure: Departure, now: Instant) {
        self.reported.push((departure, now + REPORT_TIME));
    }

    /// The departures to report now.
    pub(super) fn current(&mut self, now: Instant) -> Vec<Departure> {
        self.reported.retain(|(_, until)| now < *until);
        let current = self.reported.iter().take(MAX_DEPARTURES);
        current.map(|(departure, _)| departure.clone()).collect()
    }
}
