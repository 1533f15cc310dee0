use std::time::{Duration, Instant};

/// Token bucket of the weight store, which holds the requests of one second.
pub(crate) struct WeightRateLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
    pub(crate) served: u64,
    pub(crate) refused: u64,
}

impl WeightRateLimiter {
    pub(crate) fn new(per_second: f64) -> Self {
        let burst = burst(per_second);
        Self { per_second, tokens: burst, refilled: Instant::now(), served: 0, refused: 0 }
    }

    pub(crate) fn set(&mut self, per_second: f64) {
        self.per_second = per_second;
        self.tokens = burst(per_second);
        self.refilled = Instant::now();
    }

    /// Admits a request, or returns the time until the next one will be admitted.
    pub(crate) fn admit(&mut self) -> Result<(), Duration> {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(burst(self.per_second));
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.served += 1;
            return Ok(());
        }
        self.refused += 1;
        // a rate near 0 would result in a wait that overflows `Duration`
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_second.max(0.001)))
    }
}

/// Capacity of the bucket, at least one request.
fn burst(per_second: f64) -> f64 {
    per_second.max(1.0)
}
