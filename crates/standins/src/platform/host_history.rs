use {
    mango_wire::platform::HostEntry,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Versions of the host list, to answer with a lagging one.
#[derive(Default)]
pub(crate) struct HostHistory {
    versions: VecDeque<(Instant, Vec<HostEntry>)>,
    lag: Duration,
}

impl HostHistory {
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn current(&self) -> Vec<HostEntry> {
        self.versions.back().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    pub(crate) fn set(&mut self, hosts: Vec<HostEntry>) {
        self.versions.push_back((Instant::now(), hosts));
    }

    /// List as it was one lag ago; empty before the first version became visible.
    pub(crate) fn visible(&self) -> Vec<HostEntry> {
        let now = Instant::now();
        let known = self.versions.iter().rev().find(|(at, _)| *at + self.lag <= now);
        known.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
