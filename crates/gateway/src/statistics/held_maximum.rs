use std::time::{Duration, Instant};

/// A reported value that rises at once, and falls only when no report has reached it for a while.
#[derive(Debug)]
pub(crate) struct HeldMaximum<T> {
    value: T,
    held_until: Option<Instant>,
    hold: Duration,
}

impl<T: Copy + Default + PartialOrd> HeldMaximum<T> {
    pub(crate) fn new(hold: Duration) -> HeldMaximum<T> {
        HeldMaximum { value: T::default(), held_until: None, hold }
    }

    pub(crate) fn record(&mut self, value: T, now: Instant) {
        let is_held = self.held_until.is_some_and(|until| now <= until);
        if !is_held || value >= self.value {
            self.value = value;
            self.held_until = Some(now + self.hold);
        }
    }

    /// The value; the default before the first report.
    pub(crate) fn value(&self) -> T {
        self.value
    }
}
