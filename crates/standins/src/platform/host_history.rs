use {
    mango_wire::platform::HostEntry,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// All versions of the host list, so that an outdated one can be served.
#[derive(Default)]
pub(crate) struct HostHistory {
    // with the time at which each was set
    versions: VecDeque<(Instant, Vec<HostEntry>)>,
    // age of the version that is served
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

    /// List as it was `lag` ago; empty if there was none.
    pub(crate) fn visible(&self) -> Vec<HostEntry> {
        let now = Instant::now();
        let known = self.versions.iter().rev().find(|(at, _)| *at + self.lag <= now);
        known.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}
