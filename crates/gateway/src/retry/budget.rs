use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Buckets into which the sliding window is divided.
const BUCKETS: u32 = 20;

/// Limits the retries of a service over a sliding window.
///
/// Load pattern: many endpoints fail at once and every router retries. The routers divide
/// the budget of the fleet without coordination: each router may retry a share of its own
/// requests, plus its part of a fixed allowance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    allowance: u32,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

/// Requests and retries of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    ends_at: Instant,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Allows `ratio` retries per request and `allowance` further retries in each window.
    pub fn new(ratio: f64, allowance: u32, window: Duration) -> RetryBudget {
        RetryBudget { ratio, allowance, window, buckets: VecDeque::new() }
    }

    /// Sets the retries that are allowed in each window beyond the ratio.
    pub fn set_allowance(&mut self, allowance: u32) {
        self.allowance = allowance;
    }

    /// Counts a request, which adds `ratio` retries to the budget.
    pub fn count_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry from the budget. Returns whether there was one left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        if self.remaining(now) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Retries that are allowed now; can be negative after the allowance was lowered.
    pub fn remaining(&mut self, now: Instant) -> f64 {
        let (requests, retries) = (self.requests(now), self.retries(now));
        f64::from(requests) * self.ratio + f64::from(self.allowance) - f64::from(retries)
    }

    /// Requests in the window.
    pub fn requests(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    /// Retries in the window.
    pub fn retries(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// The current bucket; starts a new one when the last one has ended.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        self.expire(now);
        let is_current = self.buckets.back().is_some_and(|bucket| now < bucket.ends_at);
        if !is_current {
            let ends_at = now + self.window / BUCKETS;
            self.buckets.push_back(Bucket { ends_at, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Removes the buckets that ended before the window.
    fn expire(&mut self, now: Instant) {
        while self.buckets.front().is_some_and(|bucket| bucket.ends_at + self.window <= now) {
            self.buckets.pop_front();
        }
    }
}
