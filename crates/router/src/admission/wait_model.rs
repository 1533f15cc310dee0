use {super::ewma::Ewma, std::time::Duration};

const SMOOTHING: f64 = 0.1;

/// Predicts waits from the times that requests held their permits.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    short_s: Ewma,
    long_s: Ewma,
}

impl WaitModel {
    pub(crate) fn observe(&mut self, long: bool, held: Duration) {
        let hold = if long { &mut self.long_s } else { &mut self.short_s };
        hold.add(held.as_secs_f64(), SMOOTHING);
    }

    /// Time until a slot is free for a request with `ahead` requests before it;
    /// `None` while nothing was measured. `running` are the requests of its kind
    /// and of the other kind whose slots it can take over.
    pub(crate) fn predict(
        &self,
        ahead: f64,
        running_short: u32,
        running_long: u32,
    ) -> Option<Duration> {
        let rate = |running: u32, hold: &Ewma| Some(f64::from(running) / hold.get()?.max(1e-6));
        let short = rate(running_short, &self.short_s).filter(|_| running_short > 0);
        let long = rate(running_long, &self.long_s).filter(|_| running_long > 0);
        let per_second = short.unwrap_or(0.0) + long.unwrap_or(0.0);
        (per_second > 0.0)
            .then(|| Duration::from_secs_f64(((ahead + 1.0) / per_second).min(3600.0)))
    }
}
