use {super::ewma::Ewma, std::time::Duration};

const HOLD_SMOOTHING: f64 = 0.1;
/// Upper limit of predicted waits, in seconds.
const MAX_WAIT_S: f64 = 3600.0;
/// The error ratio rises nine times as fast as it falls, so that it follows the
/// longer waits.
const ERROR_RISE_SMOOTHING: f64 = 0.18;
const ERROR_FALL_SMOOTHING: f64 = 0.02;
/// Upper limit of one observed error ratio; its inverse is the lower limit.
const MAX_ERROR_RATIO: f64 = 4.0;
/// Factor on predicted waits, since waits vary around their mean. A request refused
/// at once can go to another engine, while one that expires in the queue has waited
/// for nothing.
const WAIT_MARGIN: f64 = 1.5;

/// Predicts waits from the times that requests held their permits.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    short_hold_s: Ewma,
    long_hold_s: Ewma,
    /// Observed waits divided by predicted ones. Teams that queue later take their
    /// share of the slots from waiting requests, which a prediction can't include.
    error_ratio: Ewma,
}

impl WaitModel {
    /// Records how long a request held its permit.
    pub(crate) fn observe_hold(&mut self, long: bool, held: Duration) {
        let hold = if long { &mut self.long_hold_s } else { &mut self.short_hold_s };
        hold.add(held.as_secs_f64(), HOLD_SMOOTHING);
    }

    /// Records the wait of a request that leaves the queue.
    pub(crate) fn observe_wait(&mut self, predicted: Option<Duration>, waited: Duration) {
        let Some(predicted) = predicted else { return };
        let hold = self.hold_s();
        let ratio = (waited.as_secs_f64() + hold) / (predicted.as_secs_f64() + hold).max(1e-6);
        let ratio = ratio.clamp(1.0 / MAX_ERROR_RATIO, MAX_ERROR_RATIO);
        let is_worse = self.error_ratio.get().is_none_or(|error_ratio| ratio > error_ratio);
        self.error_ratio
            .add(ratio, if is_worse { ERROR_RISE_SMOOTHING } else { ERROR_FALL_SMOOTHING });
    }

    /// Corrects a predicted wait by the observed error and a margin.
    pub(crate) fn correct(&self, predicted: Duration) -> Duration {
        let hold = self.hold_s();
        let factor = self.error_ratio.get().unwrap_or(1.0).max(1.0) * WAIT_MARGIN;
        let wait = (predicted.as_secs_f64() + hold) * factor - hold;
        Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_S))
    }

    /// Mean hold time in seconds, of short requests if any were measured. It is added
    /// to waits before they are compared, because the error of a wait much shorter
    /// than a request's run time is mere noise.
    fn hold_s(&self) -> f64 {
        self.short_hold_s.get().or(self.long_hold_s.get()).unwrap_or(0.0)
    }

    /// Predicted time until a slot is free for a request with `ahead` requests
    /// before it; `None` while nothing was measured. `running_short` and
    /// `running_long` are the numbers of running requests whose slots it can take.
    pub(crate) fn predict(
        &self,
        ahead: f64,
        running_short: u32,
        running_long: u32,
    ) -> Option<Duration> {
        let rate = |running: u32, hold: &Ewma| Some(f64::from(running) / hold.get()?.max(1e-6));
        let short = rate(running_short, &self.short_hold_s).filter(|_| running_short > 0);
        let long = rate(running_long, &self.long_hold_s).filter(|_| running_long > 0);
        let per_second = short.unwrap_or(0.0) + long.unwrap_or(0.0);
        (per_second > 0.0)
            .then(|| Duration::from_secs_f64(((ahead + 1.0) / per_second).min(MAX_WAIT_S)))
    }
}
