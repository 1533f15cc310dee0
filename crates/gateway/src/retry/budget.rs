use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Slots into which the window is divided.
const SLOTS: u32 = 20;

/// Bounds the sends beyond the first of each request, over a sliding window.
///
/// Load pattern: many endpoints fail at once and every router repeats. The budget of
/// the fleet is shared without agreement: each router spends a share of its own
/// requests and of the fixed allowance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    allowance: u32,
    window: Duration,
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    ends_at: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// `allowance` repeats are free in a window, beyond `ratio` repeats a request.
    pub fn new(ratio: f64, allowance: u32, window: Duration) -> RetryBudget {
        RetryBudget { ratio, allowance, window, slots: VecDeque::new() }
    }

    /// Changes the repeats that are free in a window.
    pub fn set_allowance(&mut self, allowance: u32) {
        self.allowance = allowance;
    }

    pub fn count_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one repeat from the budget, if it has one left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        if self.remaining(now) < 1.0 {
            return false;
        }
        self.slot(now).repeats += 1;
        true
    }

    /// Repeats that may be made now.
    pub fn remaining(&mut self, now: Instant) -> f64 {
        self.expire(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        f64::from(requests) * self.ratio + f64::from(self.allowance) - f64::from(repeats)
    }

    fn slot(&mut self, now: Instant) -> &mut Slot {
        self.expire(now);
        let is_current = self.slots.back().is_some_and(|slot| now < slot.ends_at);
        if !is_current {
            let ends_at = now + self.window / SLOTS;
            self.slots.push_back(Slot { ends_at, requests: 0, repeats: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn expire(&mut self, now: Instant) {
        while self.slots.front().is_some_and(|slot| slot.ends_at + self.window <= now) {
            self.slots.pop_front();
        }
    }
}
