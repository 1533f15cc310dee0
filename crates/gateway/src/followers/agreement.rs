use std::time::{Duration, Instant};

/// How long a copy may differ from that of the relay before it is read again: records of the last
/// moment may have reached only one of them.
const MIN_DISAGREEMENT: Duration = Duration::from_millis(1_000);
/// Longest time between two repairs of a copy that differs again after each.
const MAX_DISAGREEMENT: Duration = Duration::from_secs(60);

/// Whether the copy of a log agrees with that of the relay, and when it has to be read again.
#[derive(Debug)]
pub(super) struct Agreement {
    differs_since: Option<Instant>,
    /// Disagreement after which the copy is read again; it doubles with each repair in vain.
    patience: Duration,
}

impl Default for Agreement {
    fn default() -> Agreement {
        Agreement { differs_since: None, patience: MIN_DISAGREEMENT }
    }
}

impl Agreement {
    /// Records the result of a comparison. Returns whether the copy has to be read again.
    pub(super) fn record(&mut self, agrees: bool, now: Instant) -> bool {
        if agrees {
            *self = Agreement::default();
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.patience {
            return false;
        }
        self.differs_since = None;
        self.patience = (self.patience * 2).min(MAX_DISAGREEMENT);
        true
    }
}
