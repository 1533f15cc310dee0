/// Exponentially weighted moving average, initialised with the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Adds a sample with the weight `smoothing`.
    pub(crate) fn add(&mut self, sample: f64, smoothing: f64) {
        let value = self.value.map_or(sample, |old| old + smoothing * (sample - old));
        self.value = Some(value);
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
