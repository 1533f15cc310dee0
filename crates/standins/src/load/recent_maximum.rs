use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

// The cap on an engine's load is based on the largest total of the preceding second.
const WINDOW: Duration = Duration::from_secs(1);

/// Current value and its maximum over the preceding second.
pub(crate) struct RecentMaximum {
    value: usize,
    // earlier values with the time at which each was replaced; values decrease and
    // times increase from front to back, so that the front is the maximum
    past: VecDeque<(usize, Instant)>,
}

impl RecentMaximum {
    pub(crate) fn new() -> Self {
        Self { value: 0, past: VecDeque::new() }
    }

    pub(crate) fn value(&self) -> usize {
        self.value
    }

    pub(crate) fn set(&mut self, value: usize, now: Instant) {
        while self.past.back().is_some_and(|(past, _)| *past <= self.value) {
            self.past.pop_back();
        }
        self.past.push_back((self.value, now));
        self.value = value;
    }

    pub(crate) fn maximum(&mut self, now: Instant) -> usize {
        while self.past.front().is_some_and(|(_, replaced)| *replaced + WINDOW < now) {
            self.past.pop_front();
        }
        self.past.front().map_or(self.value, |(past, _)| self.value.max(*past))
    }
}
