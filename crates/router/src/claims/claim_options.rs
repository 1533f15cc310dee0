use {
    mango_wire::{
        HostId,
        settings::{ClaimSettings, PlatformSettings},
    },
    std::time::Duration,
};

// The log may delete whole segments, and with them some records before their retention
// ends. The margin for that is the retention divided by this number.
const SEGMENT_MARGIN_DIVISOR: u64 = 16;

/// Options of the claim service and its range writers.
#[derive(Clone, Debug)]
pub(crate) struct ClaimOptions {
    /// This host.
    pub(crate) host_id: HostId,
    /// Number of key ranges.
    pub(crate) range_count: u32,
    /// Shortest interval between appends of one range.
    pub(crate) batch_interval: Duration,
    /// Timeout of one request to the log.
    pub(crate) request_timeout: Duration,
    /// Largest difference between the clocks of any two callers or hosts, in milliseconds.
    pub(crate) clock_skew_ms: u64,
    /// How long an owner may act after its ownership was confirmed, in milliseconds.
    pub(crate) lease_ms: u64,
    /// How long the log keeps records, in milliseconds.
    pub(crate) retention_ms: u64,
    /// Largest response body that is stored for repeated requests, in bytes.
    pub(crate) max_outcome_bytes: usize,
    /// Largest log record, in bytes.
    pub(crate) max_record_bytes: usize,
}

impl ClaimOptions {
    /// Derives the options from the settings of a router.
    pub(crate) fn new(
        host_id: &HostId,
        claims: &ClaimSettings,
        platform: &PlatformSettings,
        lease_ms: u32,
    ) -> Self {
        Self {
            host_id: host_id.clone(),
            range_count: claims.key_ranges.max(1),
            batch_interval: Duration::from_millis(claims.batch_ms.into()),
            request_timeout: Duration::from_millis(platform.request_ms.into()),
            clock_skew_ms: claims.clock_skew_ms.into(),
            lease_ms: lease_ms.into(),
            retention_ms: platform.retention_ms,
            max_outcome_bytes: claims.max_outcome_bytes as usize,
            max_record_bytes: platform.max_record_bytes as usize,
        }
    }

    /// Issue time before which keys are refused at `now_ms`, because the log may have
    /// deleted their claims. The margin allows for a key whose issue time is one clock
    /// skew later than its claim, for a log whose clock is one skew ahead of this
    /// host's, and for records that the log deletes early.
    pub(crate) fn expired_before_ms(&self, now_ms: u64) -> u64 {
        let margin_ms = 2 * self.clock_skew_ms + self.retention_ms / SEGMENT_MARGIN_DIVISOR;
        now_ms.saturating_sub(self.retention_ms.saturating_sub(margin_ms))
    }
}
