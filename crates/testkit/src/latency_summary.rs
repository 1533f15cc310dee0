use {
    hdrhistogram::Histogram,
    std::{fmt, time::Duration},
};

/// Histogram of durations from 1 µs to 10 minutes, with three significant digits.
#[derive(Clone)]
pub struct LatencySummary {
    times_us: Histogram<u64>,
}

impl Default for LatencySummary {
    fn default() -> Self {
        // these constant bounds are always valid
        let times_us =
            Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds");
        Self { times_us }
    }
}

impl LatencySummary {
    /// Records a duration; values outside the range are clamped to it.
    pub fn add(&mut self, time: Duration) {
        self.times_us.saturating_record((time.as_micros() as u64).max(1));
    }

    pub fn merge(&mut self, other: &LatencySummary) {
        // all summaries have the same bounds
        self.times_us.add(&other.times_us).expect("equal histogram bounds");
    }

    /// Number of recorded durations.
    pub fn len(&self) -> u64 {
        self.times_us.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Quantile in milliseconds; `quantile` is between 0 and 1, for example 0.99.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.times_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    pub fn mean_ms(&self) -> f64 {
        self.times_us.mean() / 1000.0
    }
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "n={} mean={:.2} ms p50={:.2} ms p95={:.2} ms p99={:.2} ms max={:.2} ms",
            self.len(),
            self.mean_ms(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.95),
            self.quantile_ms(0.99),
            self.quantile_ms(1.0)
        )
    }
}
