//! What happens in a replay of hosts, versions and a store.

use {
    super::version_record::SoftwareVersion,
    rand::{RngExt, rngs::StdRng},
    std::{collections::BTreeSet, ops::Range},
};

/// Length of a replay.
pub(super) const END_MS: u64 = 120_000;

/// What happens in one replay.
pub(super) struct Plan {
    /// When endpoints of each version are in service.
    pub(super) versions: Vec<(SoftwareVersion, Range<u64>)>,
    /// When all hosts are killed, and when they are back.
    pub(super) kills: Vec<Range<u64>>,
    /// When the store serves nobody.
    pub(super) outages: Vec<Range<u64>>,
    /// When a host cannot reach the store.
    pub(super) cuts: Vec<(usize, Range<u64>)>,
    /// When a host stands still.
    pub(super) freezes: Vec<(usize, Range<u64>)>,
    /// When the store rejects appends.
    pub(super) write_outages: Vec<Range<u64>>,
    pub(super) hosts: usize,
}

impl Plan {
    /// Versions come and go, also while all hosts are down.
    pub(super) fn draw(random: &mut StdRng, has_outages: bool) -> Plan {
        let mut versions = vec![("v0".into(), 0..random.random_range(20_000..60_000))];
        let mut kills = Vec::new();
        for index in 1..random.random_range(2..5_u64) {
            let at: u64 = random.random_range(5_000..100_000);
            let until = at + random.random_range(3_000..80_000);
            versions.push((format!("v{index}").into(), at..until));
            if random.random_bool(0.7) {
                let kill_at = at.saturating_add_signed(random.random_range(-3_000..4_000));
                kills.push(kill_at..kill_at + random.random_range(200..4_000));
            }
        }
        // a service always has endpoints
        versions.push(("v9".into(), random.random_range(15_000..20_000)..END_MS));
        let hosts = random.random_range(2..7);
        let mut span = |longest| {
            let at = random.random_range(0..END_MS);
            at..at + random.random_range(500..longest)
        };
        let outages = if has_outages { vec![span(12_000), span(5_000)] } else { Vec::new() };
        let cuts = match has_outages {
            true => (0..hosts).map(|host| (host, span(12_000))).collect(),
            false => Vec::new(),
        };
        let (freezes, write_outages) = (Vec::new(), Vec::new());
        Plan { versions, kills, outages, cuts, freezes, write_outages, hosts }
    }

    /// Adds that single hosts stand still, and that the store rejects appends, both also while a version
    /// joins.
    pub(super) fn add_freezes(&mut self, random: &mut StdRng) {
        for (_, span) in &self.versions[1..] {
            let mut span = |longest| {
                let at = span.start.saturating_sub(random.random_range(0..2_000));
                at..at + random.random_range(500..longest)
            };
            self.write_outages.push(span(12_000));
            let freeze = span(12_000);
            self.freezes.push((random.random_range(0..self.hosts), freeze));
        }
    }

    /// Until when a host stands still; `None` if it runs.
    pub(super) fn frozen_until(&self, host: usize, ms: u64) -> Option<u64> {
        let freezes =
            self.freezes.iter().filter(|(frozen, span)| *frozen == host && span.contains(&ms));
        freezes.map(|(_, span)| span.end).max()
    }

    pub(super) fn accepts_appends(&self, ms: u64) -> bool {
        !self.write_outages.iter().any(|span| span.contains(&ms))
    }

    pub(super) fn reaches_store(&self, host: usize, ms: u64) -> bool {
        let is_cut = self.cuts.iter().any(|(cut, span)| *cut == host && span.contains(&ms));
        !is_cut && !self.outages.iter().any(|span| span.contains(&ms))
    }

    pub(super) fn is_down(&self, ms: u64) -> bool {
        self.kills.iter().any(|span| span.contains(&ms))
    }

    pub(super) fn present(&self, ms: u64) -> BTreeSet<SoftwareVersion> {
        let serving = self.versions.iter().filter(|(_, span)| span.contains(&ms));
        serving.map(|(version, _)| version.clone()).collect()
    }
}
