use {
    mango_wire::{
        HostId,
        settings::{ClaimSettings, PlatformSettings},
    },
    std::time::Duration,
};

// A log that drops whole segments may drop a record a little before its time.
const SEGMENT_SHARE: u64 = 16;

/// Options of the writers of key ranges.
#[derive(Clone, Debug)]
pub(crate) struct ClaimOptions {
    /// This host.
    pub(crate) host_id: HostId,
    /// Number of key ranges.
    pub(crate) ranges: u32,
    /// Shortest interval between appends of one range.
    pub(crate) batch: Duration,
    /// Longest wait for an answer of the log.
    pub(crate) request: Duration,
    /// Largest difference between two clocks of callers and hosts, in milliseconds.
    pub(crate) clock_skew_ms: u64,
    /// How long an owner may act on one confirmation, in milliseconds.
    pub(crate) lease_ms: u64,
    /// How long the log keeps records, in milliseconds.
    pub(crate) retention_ms: u64,
    /// Largest answer kept for repeats, in bytes.
    pub(crate) max_outcome_bytes: usize,
    /// Largest log record, in bytes.
    pub(crate) max_record_bytes: usize,
}

impl ClaimOptions {
    /// Takes the options from the settings of a router.
    pub(crate) fn new(
        host_id: &HostId,
        claims: &ClaimSettings,
        platform: &PlatformSettings,
        lease_ms: u32,
    ) -> Self {
        Self {
            host_id: host_id.clone(),
            ranges: claims.key_ranges.max(1),
            batch: Duration::from_millis(claims.batch_ms.into()),
            request: Duration::from_millis(platform.request_ms.into()),
            clock_skew_ms: claims.clock_skew_ms.into(),
            lease_ms: lease_ms.into(),
            retention_ms: platform.retention_ms,
            max_outcome_bytes: claims.max_outcome_bytes as usize,
            max_record_bytes: platform.max_record_bytes as usize,
        }
    }

    /// Keys issued earlier are refused at `now_ms`, because the log may have dropped
    /// their claims. A key may be issued one clock skew after its claim, and the log's
    /// clock may be one ahead of ours.
    pub(crate) fn expired_before_ms(&self, now_ms: u64) -> u64 {
        let margin_ms = 2 * self.clock_skew_ms + self.retention_ms / SEGMENT_SHARE;
        now_ms.saturating_sub(self.retention_ms.saturating_sub(margin_ms))
    }
}
