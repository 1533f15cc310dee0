use std::time::{Duration, Instant};

/// A reported number that rises at once, and falls only when no report has reached it for a while.
#[derive(Debug)]
pub(super) struct HeldMaximum {
    value: u32,
    held_until: Option<Instant>,
    hold: Duration,
}

impl HeldMaximum {
    pub(super) fn new(hold: Duration) -> HeldMaximum {
        HeldMaximum { value: 0, held_until: None, hold }
    }

    pub(super) fn record(&mut self, value: u32, now: Instant) {
        let is_held = self.held_until.is_some_and(|until| now <= until);
        if !is_held || value >= self.value {
            self.value = value;
            self.held_until = Some(now + self.hold);
        }
    }

    /// The number; 0 before the first report.
    pub(super) fn value(&self) -> u32 {
        self.value
    }
}
