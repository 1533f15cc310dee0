use std::time::Duration;

/// Weight of a new sample.
const GAIN: f64 = 0.1;

/// Exponential moving mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    mean: Option<Duration>,
}

impl MovingMean {
    pub(crate) fn record(&mut self, sample: Duration) {
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean.mul_f64(1.0 - GAIN) + sample.mul_f64(GAIN));
    }

    /// `None` before the first sample.
    pub(crate) fn get(&self) -> Option<Duration> {
        self.mean
    }
}
