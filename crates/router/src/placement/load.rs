use {
    mango_wire::{Epoch, peer::LoadEntry},
    std::time::{Duration, Instant},
};

/// Greatest age of a report that may show an engine as free. It exceeds the age limit of
/// a count because idle engines are reported rarely, and a stale report only costs one
/// refused request for a permit.
const FREE_ENGINE_MAX_AGE: Duration = Duration::from_secs(5);

/// Latest load of one engine that its owner reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) epoch: Epoch,
    pub(crate) version: u32,
    pub(crate) in_flight: u32,
    /// `in_flight` of the previous report, or 0 if that had expired. Equal to `in_flight`
    /// for a local count.
    pub(crate) previous_in_flight: u32,
    pub(crate) queued: u32,
    /// Measured health factor times 1,000, before the limit on the number of degraded
    /// engines is applied.
    pub(crate) weight_permille: u16,
    /// When the owner counted. For a report, the arrival time less the age that it states.
    pub(crate) counted_at: Instant,
    /// When the count becomes too old to be used.
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

    /// Whether this report is recent enough and shows no queue and fewer than
    /// `max_in_flight` requests in flight.
    pub(crate) fn is_free(&self, max_in_flight: u32, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.counted_at);
        age < FREE_ENGINE_MAX_AGE && self.in_flight < max_in_flight && self.queued == 0
    }

    /// Whether this report is newer than `other` and replaces it. A local count is only
    /// replaced by a report of a later epoch.
    pub(crate) fn supersedes(&self, other: &Load) -> bool {
        if self.epoch == other.epoch && other.is_local {
            return false;
        }
        (self.epoch, self.version) > (other.epoch, other.version)
    }

    /// Converts the load to a gossip entry with its age at `now`.
    pub(crate) fn to_entry(self, endpoint: u32, now: Instant) -> LoadEntry {
        let age = now.saturating_duration_since(self.counted_at).as_millis();
        LoadEntry {
            endpoint,
            epoch: self.epoch,
            version: self.version,
            in_flight: saturating_u16(self.in_flight),
            queued: saturating_u16(self.queued),
            weight_permille: self.weight_permille,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

fn saturating_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
