use {rand::RngExt, std::time::Duration};

/// Exponential backoff with jitter. The delay doubles with each attempt up to a maximum.
#[derive(Clone, Debug)]
pub(crate) struct RetryBackoff {
    first: Duration,
    max: Duration,
    current: Duration,
}

impl RetryBackoff {
    pub(crate) fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, current: first }
    }

    /// Delay before the next attempt: a random share of 50 to 100% of the current delay.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.current.mul_f64(rand::rng().random_range(0.5..1.0));
        self.current = (self.current * 2).min(self.max);
        delay
    }

    /// Starts again with the first delay.
    pub(crate) fn reset(&mut self) {
        self.current = self.first;
    }
}
