use std::time::{Duration, Instant};

/// Fraction of the allowance that may be spent at once. The rest accrues evenly over the window.
const BURST_FRACTION: f64 = 0.75;

/// Limits the retries of a service in any window, as a token bucket.
///
/// Load pattern: many endpoints fail at once and every router retries, while routers stop and
/// start and their callers move to other routers. The routers divide the budget of the fleet
/// without coordination. In any window, a router retries at most a share of the requests that it
/// received in that window, plus its part of a fixed allowance. The sum of all routers stays
/// within the budget whichever of them received a request, since a request is counted once.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    window: Duration,
    /// Retries that may be made now.
    tokens: f64,
    updated_at: Instant,
}

impl RetryBudget {
    /// Allows `ratio` retries per request and `allowance` further retries in each window. Starts
    /// empty when the process started: an earlier process of this host may have made its retries
    /// a moment before.
    pub fn new(ratio: f64, allowance: f64, window: Duration, started_at: Instant) -> RetryBudget {
        RetryBudget { ratio, allowance, window, tokens: 0.0, updated_at: started_at }
    }

    /// Sets the retries that are allowed in each window beyond the ratio.
    pub fn set_allowance(&mut self, allowance: f64, now: Instant) {
        self.accrue(now);
        self.allowance = allowance;
        self.add(0.0);
    }

    /// Counts a request, which adds `ratio` retries to the budget.
    pub fn count_request(&mut self, now: Instant) {
        self.accrue(now);
        self.add(self.ratio);
    }

    /// Spends one retry from the budget. Returns whether there was one left.
    pub fn take_retry(&mut self, now: Instant) -> bool {
        if self.remaining(now) < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that are allowed now.
    pub fn remaining(&mut self, now: Instant) -> f64 {
        self.accrue(now);
        self.tokens
    }

    /// Adds what has accrued since the last update.
    fn accrue(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        let accrued_per_window = self.allowance * (1.0 - BURST_FRACTION);
        self.add(accrued_per_window * elapsed.as_secs_f64() / self.window.as_secs_f64());
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.max_tokens());
    }

    /// Most retries that may be made at once: at least one, so that a router of a fleet that is
    /// larger than the allowance may retry at all.
    fn max_tokens(&self) -> f64 {
        (self.allowance * BURST_FRACTION).max(1.0)
    }
}
