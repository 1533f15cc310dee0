use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// A snapshot replaces the previous one if that is more recent than this, which limits
// their number.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Load of an engine at one point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadSnapshot {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) leaving: bool,
    pub(crate) first_token_ms: f64,
    pub(crate) gap_ms: f64,
}

/// Recent load snapshots, so that an outdated one can be reported.
pub(crate) struct LoadHistory {
    // age of the snapshot that is reported
    lag: Duration,
    snapshots: VecDeque<(Instant, LoadSnapshot)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, snapshots: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, snapshot: LoadSnapshot, now: Instant) {
        match self.snapshots.back_mut() {
            Some((at, last)) if now.duration_since(*at) < MIN_INTERVAL => *last = snapshot,
            _ => self.snapshots.push_back((now, snapshot)),
        }
        self.prune(now);
    }

    /// Load as it was `lag` ago; all zero if there was no snapshot yet.
    pub(crate) fn visible(&mut self, now: Instant) -> LoadSnapshot {
        self.prune(now);
        match self.snapshots.front() {
            Some((at, snapshot)) if *at + self.lag <= now => *snapshot,
            _ => LoadSnapshot::default(),
        }
    }

    /// Removes the snapshots that are older than the newest visible one.
    fn prune(&mut self, now: Instant) {
        while self.snapshots.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.snapshots.pop_front();
        }
    }
}
