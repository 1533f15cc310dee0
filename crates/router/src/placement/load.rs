use {
    mango_wire::{Epoch, peer::LoadEntry},
    std::time::{Duration, Instant},
};

/// Age up to which a report may point to a free engine. Idle engines report seldom,
/// and a wrong guess costs one refused try.
const SEARCH_MAX_AGE: Duration = Duration::from_secs(5);

/// Load of one engine as its owner last reported it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) epoch: Epoch,
    pub(crate) version: u32,
    pub(crate) in_flight: u32,
    /// Count of the report before.
    pub(crate) previous_in_flight: u32,
    pub(crate) queued: u32,
    /// Measured health factor times 1,000, before the limit on degraded engines.
    pub(crate) weight_permille: u16,
    /// When the count was exact. The age in a report becomes this time on arrival.
    pub(crate) counted_at: Instant,
    /// From when on the count is too old to be used.
    pub(crate) expires_at: Instant,
    /// Whether this host is the owner.
    pub(crate) is_local: bool,
}

impl Load {
    pub(crate) fn from_entry(entry: &LoadEntry, ttl: Duration, now: Instant) -> Self {
        let age = Duration::from_millis(u64::from(entry.age_ms));
        Self {
            epoch: entry.epoch,
            version: entry.version,
            in_flight: u32::from(entry.in_flight),
            previous_in_flight: 0,
            queued: u32::from(entry.queued),
            weight_permille: entry.weight_permille.min(1000),
            counted_at: now.checked_sub(age).unwrap_or(now),
            expires_at: now + ttl.saturating_sub(age),
            is_local: false,
        }
    }

    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Whether the engine is worth a try by this report.
    pub(crate) fn is_free(&self, slots: u32, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.counted_at);
        age < SEARCH_MAX_AGE && self.in_flight < slots && self.queued == 0
    }

    /// Whether this report replaces `other`.
    pub(crate) fn supersedes(&self, other: &Load) -> bool {
        if self.epoch == other.epoch && other.is_local {
            return false;
        }
        (self.epoch, self.version) > (other.epoch, other.version)
    }

    /// Report for other hosts, with the age at `now`.
    pub(crate) fn to_entry(self, endpoint: u32, now: Instant) -> LoadEntry {
        let age = now.saturating_duration_since(self.counted_at).as_millis();
        LoadEntry {
            endpoint,
            epoch: self.epoch,
            version: self.version,
            in_flight: saturate(self.in_flight),
            queued: saturate(self.queued),
            weight_permille: self.weight_permille,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

fn saturate(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
