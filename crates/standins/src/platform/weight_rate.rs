use std::time::{Duration, Instant};

/// Token bucket of the weight store, with a burst of one second's requests.
pub(crate) struct WeightRate {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
    pub(crate) served: u64,
    pub(crate) refused: u64,
}

impl WeightRate {
    pub(crate) fn new(per_second: f64) -> Self {
        let burst = burst(per_second);
        Self { per_second, tokens: burst, refilled: Instant::now(), served: 0, refused: 0 }
    }

    pub(crate) fn set(&mut self, per_second: f64) {
        self.per_second = per_second;
        self.tokens = burst(per_second);
        self.refilled = Instant::now();
    }

    /// Takes one request; the error is the wait until the next one may pass.
    pub(crate) fn take(&mut self) -> Result<(), Duration> {
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
        // a rate near 0 would give a wait that no Duration can hold
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_second.max(0.001)))
    }
}

fn burst(per_second: f64) -> f64 {
    per_second.max(1.0)
}
