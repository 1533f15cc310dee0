use {
    crate::records::Continuity,
    std::time::{Duration, Instant},
};

/// When this host's copy of a log was known to be current.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    last: Option<Instant>,
    /// Since when there was no outage of the store.
    since: Option<Instant>,
    follows_outage: bool,
}

impl Confirmations {
    pub(super) fn record(&mut self, at: Instant) {
        self.since.get_or_insert(at);
        self.last = self.last.max(Some(at));
    }

    pub(super) fn record_end_of_outage(&mut self, at: Instant) {
        self.since = Some(at);
        self.follows_outage = true;
    }

    pub(super) fn last(&self) -> Option<Instant> {
        self.last
    }

    /// Time since the last confirmation.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|at| now.saturating_duration_since(at))
    }

    pub(super) fn continuity(&self) -> Continuity {
        let span = self.last.zip(self.since).map(|(last, at)| last.saturating_duration_since(at));
        Continuity { span: span.unwrap_or_default(), follows_outage: self.follows_outage }
    }
}
