use {rand::RngExt, std::time::Duration};

/// Jittered pauses between tries, each twice as long as the one before.
#[derive(Clone, Debug)]
pub(crate) struct RetryBackoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl RetryBackoff {
    pub(crate) fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// Pause before the next try: half to all of the present length.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// Starts again with the first pause.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }
}
