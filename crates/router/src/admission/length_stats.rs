/// Samples from which the mean is reliable. With fewer, a running request that exceeds
/// the mean may be typical.
const MIN_RELIABLE_SAMPLES: u16 = 4;

/// Learned length of one team's requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LengthStats {
    mean_tokens: f32,
    /// Moving average of the absolute deviation from the mean.
    deviation_tokens: f32,
    samples: u16,
}

impl LengthStats {
    pub(crate) fn new(expected_tokens: u32) -> Self {
        Self { mean_tokens: expected_tokens as f32, deviation_tokens: 0.0, samples: 0 }
    }

    pub(crate) fn add(&mut self, tokens: u32) {
        // the first samples weigh more, so that a wrong configured length is corrected soon
        let smoothing = (1.0 / (f32::from(self.samples) + 1.0)).max(0.1);
        let error = tokens as f32 - self.mean_tokens;
        self.mean_tokens += smoothing * error;
        if self.samples > 0 {
            self.deviation_tokens += smoothing * (error.abs() - self.deviation_tokens);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds the current length of a running request. With few samples, the mean is
    /// raised to at least this length; otherwise only the final length counts.
    pub(crate) fn add_running(&mut self, tokens: u32) {
        if self.samples < MIN_RELIABLE_SAMPLES {
            self.mean_tokens = self.mean_tokens.max(tokens as f32);
        }
    }

    pub(crate) fn mean_tokens(&self) -> u32 {
        self.mean_tokens as u32
    }

    /// Length that few requests exceed. If lengths are distributed evenly between
    /// 0.5 and 1.5 times the mean, the longest one is two deviations above the mean;
    /// 2.5 leave a margin.
    pub(crate) fn longest_tokens(&self) -> u32 {
        (self.mean_tokens + 2.5 * self.deviation_tokens) as u32
    }

    /// Mean plus deviation, by which requests are classified as long.
    pub(crate) fn upper_tokens(&self) -> u32 {
        (self.mean_tokens + self.deviation_tokens) as u32
    }
}
