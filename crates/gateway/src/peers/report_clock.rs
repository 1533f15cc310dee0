use crate::clock::BootInstant;

/// Timestamps of the reports of this process, which relays return.
pub(super) struct ReportClock {
    /// Random number added to the timestamps, so that the echo of a report by an earlier process
    /// of this host is not accepted.
    offset_ms: u64,
    /// Start of the process, rounded down to milliseconds like the timestamps.
    started_at: BootInstant,
}

impl ReportClock {
    pub(super) fn new() -> ReportClock {
        ReportClock {
            offset_ms: rand::random::<u64>() >> 1,
            started_at: BootInstant::from_millis(BootInstant::now().as_millis()),
        }
    }

    /// The timestamp of a report that is sent now.
    pub(super) fn timestamp_ms(&self) -> u64 {
        self.offset_ms + BootInstant::now().as_millis()
    }

    /// When the report with a returned timestamp was sent; `None` if this process cannot have
    /// sent it.
    pub(super) fn sent_at(&self, echo_ms: u64) -> Option<BootInstant> {
        let at = BootInstant::from_millis(echo_ms.checked_sub(self.offset_ms)?);
        (at >= self.started_at && at <= BootInstant::now()).then_some(at)
    }
}
